package fleetidentifier_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// vm is a VM whose Identifier runs.
type vm struct {
	fleet      *fleetidentifier.Fleet
	identifier *fleetidentifier.Identifier
	mu         sync.Mutex
	ended      error
}

func (v *vm) end(reason error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = reason
}

func (v *vm) reason() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

// site is VMs of one store, with a clock that runs as fast as the test.
type site struct {
	t     *testing.T
	ctx   context.Context
	group *sync.WaitGroup
	rows  *replaceable
}

// replaceable is a store in whose place another one may be put.
type replaceable struct {
	rowstore.Store
	mu   sync.Mutex
	rows *rowemulator.Store
}

func (r *replaceable) current() *rowemulator.Store {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows
}

func (r *replaceable) replace(rows *rowemulator.Store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = rows
}

// Range implements rowstore.Store.
func (r *replaceable) Range(ctx context.Context, table, part, from, to string) (rowstore.Snapshot, string, error) {
	return r.current().Range(ctx, table, part, from, to)
}

// Transact implements rowstore.Store.
func (r *replaceable) Transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	return r.current().Transact(ctx, tx)
}

// play runs a test on a site without VMs.
func play(t *testing.T, run func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &site{t: t, ctx: ctx, group: &sync.WaitGroup{}, rows: &replaceable{rows: rowemulator.New()}}
		run(t, s)
		cancel()
		s.group.Wait()
	})
}

// start starts a VM that knows an identity from peer VMs; 0 for none.
func (s *site) start(fromPeers uint64) *vm {
	v := &vm{fleet: newFleet(fromPeers)}
	v.identifier = fleetidentifier.NewIdentifier(s.rows, v.fleet, v.end, slog.New(slog.DiscardHandler))
	s.group.Go(func() { v.identifier.Run(s.ctx) })
	return v
}

// expectIdentity waits for some time and checks that a VM has an identity, and goes on.
func (s *site) expectIdentity(v *vm, after time.Duration) uint64 {
	s.t.Helper()
	time.Sleep(after)
	qt.Check(s.t, v.fleet.Identity(), qt.Not(qt.Equals), uint64(0))
	qt.Check(s.t, v.reason(), qt.IsNil)
	return v.fleet.Identity()
}

func TestVMsOfAStoreAgree(t *testing.T) {
	agree := func(t *testing.T, faults rowemulator.Faults) {
		t.Helper()
		play(t, func(t *testing.T, s *site) {
			s.rows.current().SetRandomFaults(1, faults)
			vms := make([]*vm, 30)
			for i := range vms {
				vms[i] = s.start(0)
			}
			time.Sleep(2 * time.Minute) // late writes and checks have happened
			want := s.expectIdentity(vms[0], 0)
			for _, v := range vms {
				qt.Check(t, s.expectIdentity(v, 0), qt.Equals, want)
			}
		})
	}
	t.Run("calm", func(t *testing.T) { agree(t, rowemulator.Faults{}) })
	t.Run("lost answers", func(t *testing.T) { agree(t, rowemulator.Faults{LostResponseShare: 0.7}) })
	t.Run("late writes", func(t *testing.T) { agree(t, rowemulator.Faults{LateShare: 0.8, RejectedShare: 0.1}) })
}

// Guards against: at the start of a large fleet, all VMs write to the same part.
func TestFewVMsCreateTheIdentity(t *testing.T) {
	const vms = 100 // with 300 in one bubble, the race detector itself crashes at times
	play(t, func(t *testing.T, s *site) {
		for range vms {
			s.start(0)
		}
		time.Sleep(2 * time.Second)
		counts := s.rows.current().Counts()
		qt.Check(t, counts.Transactions <= 3, qt.IsTrue, qt.Commentf("%d", counts.Transactions))
		qt.Check(t, counts.Reads <= 2*vms, qt.IsTrue, qt.Commentf("%d", counts.Reads))
	})
}

func TestFleetIsIdentifiedAfterAnOutageAtTheStart(t *testing.T) {
	play(t, func(t *testing.T, s *site) {
		s.rows.current().SetDown(true)
		v := s.start(0)
		time.Sleep(time.Minute)
		qt.Check(t, v.fleet.Identity(), qt.Equals, uint64(0))
		s.rows.current().SetDown(false)
		s.expectIdentity(v, 8*time.Second)
	})
}

// Guards against: a process that has outlived its fleet goes on with the store of the next one, at the same
// address.
func TestProcessEndsWhenTheStoreIsAnotherOne(t *testing.T) {
	play(t, func(t *testing.T, s *site) {
		old := s.start(0)
		s.expectIdentity(old, 2*time.Second)
		s.rows.replace(rowemulator.New())
		old.identifier.Recheck()
		time.Sleep(time.Minute)
		qt.Check(t, old.reason(), qt.IsNil, qt.Commentf("nobody says that the store is another fleet's"))
		later := s.start(0)
		s.expectIdentity(later, 8*time.Second)
		qt.Check(t, old.reason(), qt.ErrorIs, fleetidentifier.ErrOtherStore)
		qt.Check(t, later.fleet.Identity(), qt.Not(qt.Equals), old.fleet.Identity())
	})
}

// Guards against: a VM that started without the store goes on with what VMs of another fleet told it.
func TestProcessEndsWhenPeersWereOfAnotherFleet(t *testing.T) {
	play(t, func(t *testing.T, s *site) {
		s.expectIdentity(s.start(0), 2*time.Second)
		misled := s.start(12345)
		time.Sleep(2 * time.Second)
		qt.Check(t, misled.reason(), qt.ErrorIs, fleetidentifier.ErrOtherFleet)
	})
}

// Guards against: all VMs of a new fleet become VMs of an earlier one, as a process of that one answers them
// before they have read their store.
func TestNewFleetDoesNotBecomeAnEarlierOne(t *testing.T) {
	play(t, func(t *testing.T, s *site) {
		misled := []*vm{s.start(12345), s.start(12345)}
		time.Sleep(4 * time.Second)
		for _, v := range misled {
			qt.Check(t, v.reason(), qt.ErrorIs, fleetidentifier.ErrOtherFleet)
		}
		s.expectIdentity(s.start(0), 2*time.Second)
	})
}

// Guards against: an unavailable store, a lost answer or a row that can't be read ends processes.
func TestStoreFailuresEndNoProcess(t *testing.T) {
	expect := func(t *testing.T, disturb func(rows *rowemulator.Store)) {
		t.Helper()
		play(t, func(_ *testing.T, s *site) {
			v := s.start(0)
			before := s.expectIdentity(v, 2*time.Second)
			disturb(s.rows.current())
			for range 100 {
				v.identifier.Recheck()
				qt.Check(s.t, s.expectIdentity(v, time.Second), qt.Equals, before)
			}
		})
	}
	t.Run("down", func(t *testing.T) { expect(t, func(rows *rowemulator.Store) { rows.SetDown(true) }) })
	t.Run("answers lost", func(t *testing.T) {
		expect(t, func(rows *rowemulator.Store) {
			rows.SetFaultFunc(func(rowemulator.Call) (bool, error) { return true, rowstore.ErrInDoubt })
		})
	})
	t.Run("row malformed", func(t *testing.T) {
		expect(t, func(rows *rowemulator.Store) {
			key := rowstore.Key{Table: fleetidentifier.Table, Part: fleetidentifier.Part, Name: fleetidentifier.Row}
			_, err := rows.Apply(rowstore.Tx{Puts: []rowstore.Put{{Key: key, Value: []byte("x")}}})
			qt.Check(t, err, qt.IsNil)
		})
	})
	t.Run("row missing", func(t *testing.T) {
		expect(t, func(rows *rowemulator.Store) {
			key := rowstore.Key{Table: fleetidentifier.Table, Part: fleetidentifier.Part, Name: fleetidentifier.Row}
			_, err := rows.Apply(rowstore.Tx{Removes: []rowstore.Key{key}})
			qt.Check(t, err, qt.IsNil)
		})
	})
}

// Guards against: a store that fails often is asked for the identity each time.
func TestChecksAreRare(t *testing.T) {
	play(t, func(t *testing.T, s *site) {
		v := s.start(0)
		s.expectIdentity(v, 2*time.Second)
		before := s.rows.current().Counts().Reads
		time.Sleep(10 * time.Minute)
		calm := s.rows.current().Counts().Reads - before
		qt.Check(t, calm >= 15 && calm <= 30, qt.IsTrue, qt.Commentf("%d", calm))
		for range 1000 {
			v.identifier.Recheck()
			time.Sleep(100 * time.Millisecond)
		}
		qt.Check(t, s.rows.current().Counts().Reads-before-calm <= 101, qt.IsTrue)
	})
}

var errCut = errors.New("cut")

// Guards against: the identity of one store is taken for that of another, as the read failed halfway.
func TestFailedReadIsNoMissingRow(t *testing.T) {
	play(t, func(t *testing.T, s *site) {
		s.rows.current().SetFaultFunc(func(c rowemulator.Call) (bool, error) { return c.Write, errCut })
		s.start(0)
		time.Sleep(time.Minute)
		qt.Check(t, s.rows.current().Counts().Transactions, qt.Equals, 0)
	})
}
