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

// engine is an upstream that may or may not check fencing numbers.
type engine struct {
	checks  bool
	fencing uint64
	report  upstream.LoadReport
	applied []uint64 // fencing numbers, in the order in which they took effect
}

// apply carries an order out, late or not.
func (e *engine) apply(order upstream.Order) {
	if e.checks && order.Fencing < e.fencing {
		return
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.report.Loaded, e.report.Role = order.Models, order.Role
	e.applied = append(e.applied, order.Fencing)
}

// vm is one VM that orders engines.
type vm struct {
	core    *orderer.Orderer
	keeper  *orderkeeper.Keeper
	version uint64
	wishes  map[string]orderer.Wish
}

// fleet is VMs that may both take themselves for the keeper of an engine.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	engines map[string]*engine
	vms     []*vm
	flying  []func()
	most    int // the most engines out of service at a time
}

func newFleet(checks bool, engines, vms int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), engines: map[string]*engine{}}
	table := storeemulator.NewKeeper(rand.New(rand.NewPCG(1, 1)))
	for n := range engines {
		e := &engine{checks: checks}
		e.report.Role = upstream.RoleServing
		e.report.Loaded = models(1)
		f.engines[fmt.Sprintf("engine-%02d", n)] = e
	}
	for n := range vms {
		v := &vm{core: orderer.New(), version: 1, wishes: map[string]orderer.Wish{}}
		v.keeper = orderkeeper.New(table, fmt.Sprint("vm-", n), func() time.Time { return f.now })
		f.vms = append(f.vms, v)
	}
	return f
}

func models(version uint64) []upstream.LoadedModel {
	return []upstream.LoadedModel{{Name: "scribe-lm", Version: fmt.Sprint(version)}}
}

func (f *fleet) wish(v *vm, version uint64) {
	v.version = version
	var wishes []orderer.Wish
	for id, e := range f.engines {
		w := orderer.Wish{
			Upstream: id, Deployment: "scribe-lm", Domain: "kariakoo", ConfigVersion: version, Models: models(version),
			Checked: e.checks, MinServing: 2, Pool: len(f.engines), Serving: len(f.engines),
		}
		v.wishes[id] = w
		wishes = append(wishes, w)
	}
	v.core.SetWishes(wishes)
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, v := range f.vms {
			for id, e := range f.engines {
				v.core.Reported(id, e.report)
			}
			f.do(v, v.core.Tick(f.now))
		}
		f.most = max(f.most, len(f.flying))
		for range f.random.IntN(3) {
			if len(f.flying) > 0 {
				at := f.random.IntN(len(f.flying))
				land := f.flying[at]
				f.flying = append(f.flying[:at], f.flying[at+1:]...)
				land()
			}
		}
	}
}

func (f *fleet) do(v *vm, actions []orderer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case orderer.Claim:
			ticket, err := v.keeper.Claim(context.Background(), a)
			f.do(v, v.core.Claimed(a.Wish.Upstream, ticket, err, f.now))
		case orderer.Send:
			f.flying = append(f.flying, func() {
				f.engines[a.Upstream].apply(a.Order)
				f.do(v, v.core.Sent(a.Upstream, a.Ticket, f.now))
			})
		case orderer.Release:
			_ = v.keeper.Release(context.Background(), v.wishes[a.Upstream], a.Ticket)
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

func TestAllUpstreamsReachTheWishedState(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(checks, seed), func(t *testing.T) {
				f := newFleet(checks, 10, 2, seed)
				for _, v := range f.vms {
					f.wish(v, 2)
				}
				f.run(20 * time.Minute)
				f.expectVersion(t, 2)
				qt.Check(t, f.most <= 2, qt.IsTrue, qt.Commentf("%d changed at a time", f.most))
			})
		}
	}
}

// Two VMs both take themselves for the keeper, and one has an old configuration.
func TestOwnersWithDifferentWishesDoNotFlap(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			f := newFleet(checks, 4, 2, 1)
			f.wish(f.vms[0], 2)
			f.wish(f.vms[1], 1)
			f.run(20 * time.Minute)
			f.expectVersion(t, 2)
			for id, e := range f.engines {
				qt.Check(t, len(e.applied) <= 2, qt.IsTrue, qt.Commentf("%s was ordered %d times", id, len(e.applied)))
			}
		})
	}
}

func TestOrderThatComesLateIsRefusedOrMended(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			f := newFleet(checks, 1, 2, 1)
			f.wish(f.vms[0], 2)
			f.vms[0].core.Reported("engine-00", f.engines["engine-00"].report)
			f.do(f.vms[0], f.vms[0].core.Tick(f.now))
			qt.Assert(t, f.flying, qt.HasLen, 1)
			late := f.flying[0] // the first VM is paused with its order on the way
			f.flying = nil
			paused := f.vms[0]
			f.vms = f.vms[1:]
			f.wish(f.vms[0], 3)
			f.run(10 * time.Minute)
			f.expectVersion(t, 3)
			late()
			f.wish(paused, 3)
			f.run(10 * time.Minute)
			f.expectVersion(t, 3)
		})
	}
}
