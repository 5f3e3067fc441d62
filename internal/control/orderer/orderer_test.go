package orderer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/orderer"
	"github.com/fescuespindle/fescuespindle/internal/control/orderkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/storeemulator"
)

const step = 250 * time.Millisecond

// engine is a simulated upstream, which may or may not check fencing numbers.
type engine struct {
	checksFencing bool
	fencing       uint64
	report        upstream.LoadReport
	applied       []uint64 // fencing numbers, in the order in which they took effect
}

// apply carries an order out, late or not.
func (e *engine) apply(order upstream.Order) {
	if e.checksFencing && order.Fencing < e.fencing {
		return
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.report.Loaded, e.report.Role = order.Models, order.Role
	e.applied = append(e.applied, order.Fencing)
}

// vm is one VM that sends orders to engines.
type vm struct {
	core    *orderer.Orderer
	keeper  *orderkeeper.Keeper
	version uint64
	desired map[string]orderer.DesiredState
}

// fleet is a set of VMs, each of which considers itself the owner of all engines.
type fleet struct {
	now         time.Time
	random      *rand.Rand
	engines     map[string]*engine
	vms         []*vm
	inFlight    []func()
	maxInFlight int // the most orders that were in flight at a time
}

func newFleet(checksFencing bool, engines, vms int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), engines: map[string]*engine{}}
	table := storeemulator.NewKeeper(rand.New(rand.NewPCG(1, 1)))
	for n := range engines {
		e := &engine{checksFencing: checksFencing}
		e.report.Role = upstream.RoleServing
		e.report.Loaded = models(1)
		f.engines[fmt.Sprintf("engine-%02d", n)] = e
	}
	for n := range vms {
		v := &vm{core: orderer.New(), version: 1, desired: map[string]orderer.DesiredState{}}
		v.keeper = orderkeeper.New(table, fmt.Sprint("vm-", n), func() time.Time { return f.now })
		f.vms = append(f.vms, v)
	}
	return f
}

func models(version uint64) []upstream.LoadedModel {
	return []upstream.LoadedModel{{Name: "scribe-lm", Version: fmt.Sprint(version)}}
}

func (f *fleet) setDesired(v *vm, version uint64) {
	v.version = version
	var states []orderer.DesiredState
	for id, e := range f.engines {
		state := orderer.DesiredState{
			Upstream: id, Deployment: "scribe-lm", Domain: "kariakoo", ConfigVersion: version, Models: models(version),
			ChecksFencing: e.checksFencing, MinServing: 2, Total: len(f.engines), Serving: len(f.engines),
		}
		v.desired[id] = state
		states = append(states, state)
	}
	v.core.SetDesired(states)
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, v := range f.vms {
			for id, e := range f.engines {
				v.core.ReceiveReport(id, e.report)
			}
			f.execute(v, v.core.Tick(f.now))
		}
		f.maxInFlight = max(f.maxInFlight, len(f.inFlight))
		for range f.random.IntN(3) {
			if len(f.inFlight) > 0 {
				at := f.random.IntN(len(f.inFlight))
				deliver := f.inFlight[at]
				f.inFlight = append(f.inFlight[:at], f.inFlight[at+1:]...)
				deliver()
			}
		}
	}
}

func (f *fleet) execute(v *vm, actions []orderer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case orderer.Claim:
			grant, err := v.keeper.Claim(context.Background(), a)
			f.execute(v, v.core.Claimed(a.Desired.Upstream, grant, err, f.now))
		case orderer.Send:
			f.inFlight = append(f.inFlight, func() {
				f.engines[a.Upstream].apply(a.Order)
				f.execute(v, v.core.Sent(a.Upstream, a.Grant, f.now))
			})
		case orderer.Release:
			_ = v.keeper.Release(context.Background(), v.desired[a.Upstream], a.Grant)
			v.core.Released(a.Upstream)
		}
	}
}

func (f *fleet) expectVersion(t *testing.T, version uint64) {
	t.Helper()
	for id, e := range f.engines {
		qt.Check(t, e.report.Loaded, qt.DeepEquals, models(version), qt.Commentf("%s", id))
	}
}

func TestAllUpstreamsReachTheDesiredState(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(checksFencing, seed), func(t *testing.T) {
				f := newFleet(checksFencing, 10, 2, seed)
				for _, v := range f.vms {
					f.setDesired(v, 2)
				}
				f.run(20 * time.Minute)
				f.expectVersion(t, 2)
				qt.Check(t, f.maxInFlight <= 2, qt.IsTrue, qt.Commentf("%d changed at a time", f.maxInFlight))
			})
		}
	}
}

// Two VMs that both consider themselves the owner have different configurations.
// Without the version check in claims they would reverse each other's orders.
func TestOwnersWithDifferentConfigurationsDoNotFlap(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprint(checksFencing), func(t *testing.T) {
			f := newFleet(checksFencing, 4, 2, 1)
			f.setDesired(f.vms[0], 2)
			f.setDesired(f.vms[1], 1)
			f.run(20 * time.Minute)
			f.expectVersion(t, 2)
			for id, e := range f.engines {
				qt.Check(t, len(e.applied) <= 2, qt.IsTrue, qt.Commentf("%s was ordered %d times", id, len(e.applied)))
			}
		})
	}
}

func TestDelayedOrderIsRejectedOrCorrected(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprint(checksFencing), func(t *testing.T) {
			f := newFleet(checksFencing, 1, 2, 1)
			f.setDesired(f.vms[0], 2)
			f.vms[0].core.ReceiveReport("engine-00", f.engines["engine-00"].report)
			f.execute(f.vms[0], f.vms[0].core.Tick(f.now))
			qt.Assert(t, f.inFlight, qt.HasLen, 1)
			delayed := f.inFlight[0] // the first VM is paused with its order on the way
			f.inFlight = nil
			paused := f.vms[0]
			f.vms = f.vms[1:]
			f.setDesired(f.vms[0], 3)
			f.run(10 * time.Minute)
			f.expectVersion(t, 3)
			delayed()
			f.setDesired(paused, 3)
			f.run(10 * time.Minute)
			f.expectVersion(t, 3)
		})
	}
}
