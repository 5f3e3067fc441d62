package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/orderer"
	"github.com/fescuespindle/fescuespindle/internal/control/orderkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

const (
	orderClaimTimeout = 5 * time.Second
	// orderTimeout limits one order. It is well below the time for which a new
	// holder sends no order to an upstream that ignores fencing numbers.
	orderTimeout = 60 * time.Second
)

// orders claims the upstreams that this VM owns and sends orders to them.
type orders struct {
	c       *Controller
	core    *orderer.Orderer
	keeper  *orderkeeper.Keeper
	desired map[string]orderer.DesiredState
}

func newOrders(c *Controller) *orders {
	holder := fmt.Sprintf("%s/%d", c.Location.VM, c.Location.Process)
	return &orders{
		c: c, core: orderer.New(), keeper: orderkeeper.New(c.Store, holder, time.Now),
		desired: map[string]orderer.DesiredState{},
	}
}

// listedEngines calls yield for each engine on the VM list with its deployment.
func (o *orders) listedEngines(yield func(vmlister.VM, deployer.Deployment) bool) {
	for _, d := range o.c.config.document.Deployments {
		if d.Kind != deployer.KindEngine {
			continue
		}
		for _, vm := range o.c.list {
			matches := vm.Kind == vmlister.KindUpstream && vm.Pool == d.Pool && d.Serves(vm.Region)
			if matches && !yield(vm, d) {
				return
			}
		}
	}
}

// updateDesired derives the desired states of the engines that this VM owns,
// including those that serve no model yet.
func (o *orders) updateDesired() {
	totals := map[string]int{}
	serving := map[string]int{}
	for vm, d := range o.listedEngines {
		key := d.Name + "/" + vm.Domain
		totals[key]++
		state := o.c.upstreams.states[vm.ID]
		if !state.Draining() && len(state.Models()) > 0 {
			serving[key]++
		}
	}
	clear(o.desired)
	for vm, d := range o.listedEngines {
		if !o.c.upstreams.polls(vm) || vm.Leaving {
			continue
		}
		key := d.Name + "/" + vm.Domain
		o.desired[vm.ID] = orderer.DesiredState{
			Upstream: vm.ID, Deployment: d.Name, Domain: vm.Domain, ConfigVersion: o.c.config.current().Version(),
			Models: desiredModels(d), ChecksFencing: d.Fencing == deployer.FencingChecked, MinServing: d.MinServing,
			Total: totals[key], Serving: serving[key],
		}
	}
	states := make([]orderer.DesiredState, 0, len(o.desired))
	for _, state := range o.desired {
		states = append(states, state)
	}
	o.core.SetDesired(states)
}

func desiredModels(d deployer.Deployment) []upstream.LoadedModel {
	models := make([]upstream.LoadedModel, 0, len(d.Models))
	for _, m := range d.Models {
		models = append(models, upstream.LoadedModel{Name: m.Name, Version: m.Version, Adapters: slices.Clone(m.Adapters)})
	}
	return models
}

func (o *orders) tick(now time.Time) { o.execute(o.core.Tick(now)) }

func (o *orders) execute(actions []orderer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case orderer.Claim:
			o.claim(a)
		case orderer.Send:
			o.send(a)
		case orderer.Release:
			o.release(a)
		}
	}
}

func (o *orders) claim(a orderer.Claim) {
	o.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, orderClaimTimeout)
		defer cancel()
		grant, err := o.keeper.Claim(ctx, a)
		return func(now time.Time) { o.execute(o.core.Claimed(a.Desired.Upstream, grant, err, now)) }
	})
}

func (o *orders) send(a orderer.Send) {
	address := o.c.upstreams.addressOf(a.Upstream)
	o.c.Counters.Count("orders_total")
	o.c.Logger.Info("ordering upstream", "upstream", a.Upstream, "fencing", a.Order.Fencing)
	o.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if err := o.call(ctx, address, a); err != nil {
			o.c.Counters.Count("order_failures_total")
		}
		return func(now time.Time) { o.execute(o.core.Sent(a.Upstream, a.Grant, now)) }
	})
}

func (o *orders) call(ctx context.Context, address string, a orderer.Send) error {
	body, err := json.Marshal(a.Order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	_, err = o.c.Relayer.Call(ctx, relayer.Attempt{
		ID: fmt.Sprintf("order-%s-%d", a.Upstream, a.Order.Fencing), Address: address, Method: http.MethodPost,
		Path: upstream.PathOrders, Body: body, Header: http.Header{"Content-Type": {"application/json"}},
	}, false)
	if err != nil {
		return fmt.Errorf("order %s: %w", a.Upstream, err)
	}
	return nil
}

func (o *orders) release(a orderer.Release) {
	desired := o.desired[a.Upstream]
	desired.Upstream = a.Upstream
	o.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_ = o.keeper.Release(ctx, desired, a.Grant) // a claim that isn't released expires
		return func(time.Time) { o.core.Released(a.Upstream) }
	})
}
