package batchrunner_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// fault is what goes wrong at one call of a VM to the store.
type fault int

const (
	none        fault = iota
	crashBefore       // the VM is lost before the call is made
	crashAfter        // the VM is lost after the call's effect, before its response
	crashLate         // the VM is lost, and the call takes effect seconds later
	answerLost        // the call takes effect and its response is lost
	callLost          // the call is lost
	callLate          // the response is lost and the call takes effect seconds later
	doubled           // the call takes effect, and once more seconds later
	suspended         // the VM is suspended for seconds before the call is made
	turnedAway        // the store rejects all calls of the VM for seconds

	faultKinds = int(turnedAway)
)

const (
	lateTime             = 3 * time.Second
	suspendedTime        = 9 * time.Second
	turnedAwayTime       = 12 * time.Second
	restartAfterCrash    = 2 * time.Second
	settleTime           = 50 * time.Second
	maxFaultyCall        = 40 // calls of the first VM at which faults are injected
	maxAttempts          = 3  // MaxAttempts of the route
	maxFailedRuns        = 9
	maxUnprocessableRuns = 3
	quotaTokens          = 100
	normalEvents         = 5
	longEvents           = 15
	longGap              = 200 * time.Millisecond
)

var faultNames = [...]string{
	"none", "crashBefore", "crashAfter", "crashLate", "answerLost", "callLost", "callLate", "doubled", "suspended",
	"turnedAway",
}

func (k fault) String() string { return faultNames[k] }

// faultyStore is the connection of one VM to the store, which injects faults.
type faultyStore struct {
	store    *rowemulator.Store
	setAlive func(bool)
	crash    func()

	mu             sync.Mutex
	calls          int
	faults         map[int]fault // by the number of the call
	suspendedUntil time.Time     // end of the VM's suspension
	rejectedUntil  time.Time     // when the store serves the VM again
	dead           bool
}

// begin counts a call and returns the fault to inject.
func (s *faultyStore) begin() fault {
	time.Sleep(time.Until(s.suspensionEnd()))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return crashBefore
	}
	s.calls++
	kind := s.faults[s.calls]
	now := time.Now()
	switch {
	case kind == suspended:
		s.suspendedUntil = now.Add(suspendedTime)
		s.appearLost(suspendedTime)
	case kind == turnedAway:
		s.rejectedUntil = now.Add(turnedAwayTime)
		s.appearLost(turnedAwayTime)
	case now.Before(s.rejectedUntil):
		return turnedAway
	}
	return kind
}

func (s *faultyStore) suspensionEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspendedUntil
}

// appearLost makes the VM appear lost to the others for a time.
func (s *faultyStore) appearLost(d time.Duration) {
	s.setAlive(false)
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.dead {
			s.setAlive(true)
		}
	})
}

// crashNow crashes the VM and blocks its call until ctx ends.
func (s *faultyStore) crashNow(ctx context.Context) error {
	s.mu.Lock()
	first := !s.dead
	s.dead = true
	s.mu.Unlock()
	if first {
		s.crash()
	}
	<-ctx.Done()
	return rowstore.ErrInDoubt
}

// Transact implements rowstore.Store.
func (s *faultyStore) Transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	later := func() { time.AfterFunc(lateTime, func() { _, _ = s.store.Apply(tx) }) }
	kind := s.begin()
	switch kind {
	case crashBefore:
		return rowstore.Snapshot{}, s.crashNow(ctx)
	case crashAfter:
		_, _ = s.store.Apply(tx)
		return rowstore.Snapshot{}, s.crashNow(ctx)
	case crashLate:
		later()
		return rowstore.Snapshot{}, s.crashNow(ctx)
	case answerLost:
		_, _ = s.store.Apply(tx)
		return rowstore.Snapshot{}, rowstore.ErrInDoubt
	case callLost:
		return rowstore.Snapshot{}, rowstore.ErrInDoubt
	case callLate:
		later()
		<-ctx.Done()
		return rowstore.Snapshot{}, rowstore.ErrInDoubt
	case doubled:
		later()
	case suspended:
		time.Sleep(suspendedTime)
	case turnedAway:
		return rowstore.Snapshot{}, rowstore.ErrNotDone
	case none:
	}
	return s.store.Transact(context.WithoutCancel(ctx), tx) // a sent call takes effect even if its caller cancels it
}

// readFault applies the fault to a call that only reads and returns its error.
func (s *faultyStore) readFault(ctx context.Context) error {
	switch s.begin() {
	case crashBefore, crashAfter, crashLate:
		return s.crashNow(ctx)
	case answerLost, callLost, callLate:
		return rowstore.ErrInDoubt
	case suspended:
		time.Sleep(suspendedTime)
	case turnedAway:
		return rowstore.ErrNotDone
	case doubled, none:
	}
	return ctx.Err()
}

// Range implements rowstore.Store.
func (s *faultyStore) Range(ctx context.Context, table, part, from, to string) (rowstore.Snapshot, string, error) {
	if err := s.readFault(ctx); err != nil {
		return rowstore.Snapshot{}, "", err
	}
	return s.store.Range(ctx, table, part, from, to)
}

// Changes implements rowstore.Store.
func (s *faultyStore) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	if err := s.readFault(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return s.store.Changes(ctx, table, after, wait)
}

// crashJob has the items of the job that runs while faults are injected. The name of longItem makes
// its output long enough for a checkpoint.
var (
	longItem = "long-" + strings.Repeat("x", 150)
	crashJob = []string{"normal", longItem, "fails", "impossible"}
)
