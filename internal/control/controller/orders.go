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
	// orderTimeout bounds one order; it is well under the time for which other
	// VMs leave the upstream alone.
	orderTimeout = 60 * time.Second
)

// orders steps the orders to upstreams that this VM looks after.
type orders struct {
	c      *Controller
	core   *orderer.Orderer
	keeper *orderkeeper.Keeper
	wishes map[string]orderer.Wish
}

func newOrders(c *Controller) *orders {
	holder := fmt.Sprintf("%s/%d", c.Location.VM, c.Location.Process)
	return &orders{
		c: c, core: orderer.New(), keeper: orderkeeper.New(c.Store, holder, time.Now), wishes: map[string]orderer.Wish{},
	}
}

// listedEngines calls yield for each engine of the list with its deployment.
func (o *orders) listedEngines(yield func(vmlister.VM, deployer.Deployment) bool) {
	for _, d := range o.c.config.doc.Deployments {
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

// refresh derives the wishes for the engines that this VM looks after, those
// that serve nothing yet included.
func (o *orders) refresh() {
	pools := map[string]int{}
	serving := map[string]int{}
	for vm, d := range o.listedEngines {
		place := d.Name + "/" + vm.Domain
		pools[place]++
		state := o.c.upstreams.states[vm.ID]
		if !state.Leaving() && len(state.Models()) > 0 {
			serving[place]++
		}
	}
	clear(o.wishes)
	for vm, d := range o.listedEngines {
		if !o.c.upstreams.keeps(vm) || vm.Leaving {
			continue
		}
		place := d.Name + "/" + vm.Domain
		o.wishes[vm.ID] = orderer.Wish{
			Upstream: vm.ID, Deployment: d.Name, Domain: vm.Domain, ConfigVersion: o.c.config.current().Version(),
			Models: modelsOf(d), Checked: d.Fencing == deployer.FencingChecked, MinServing: d.MinServing,
			Pool: pools[place], Serving: serving[place],
		}
	}
	wishes := make([]orderer.Wish, 0, len(o.wishes))
	for _, wish := range o.wishes {
		wishes = append(wishes, wish)
	}
	o.core.SetWishes(wishes)
}

func modelsOf(d deployer.Deployment) []upstream.LoadedModel {
	models := make([]upstream.LoadedModel, 0, len(d.Models))
	for _, m := range d.Models {
		models = append(models, upstream.LoadedModel{Name: m.Name, Version: m.Version, Adapters: slices.Clone(m.Adapters)})
	}
	return models
}

func (o *orders) tick(now time.Time) { o.do(o.core.Tick(now)) }

func (o *orders) do(actions []orderer.Action) {
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
		ticket, err := o.keeper.Claim(ctx, a)
		return func(now time.Time) { o.do(o.core.Claimed(a.Wish.Upstream, ticket, err, now)) }
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
		return func(now time.Time) { o.do(o.core.Sent(a.Upstream, a.Ticket, now)) }
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
	wish := o.wishes[a.Upstream]
	wish.Upstream = a.Upstream
	o.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_ = o.keeper.Release(ctx, wish, a.Ticket) // a claim that stays behind is taken over in time
		return func(time.Time) { o.core.Released(a.Upstream) }
	})
}
