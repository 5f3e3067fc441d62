// Package fleetidentifier tells the VMs of one fleet from those of others.
//
// Addresses and IDs are no evidence: a process of an earlier run may go on, another fleet may run
// on the same machines, and an address may be used again. A fleet is the VMs that share a store,
// so its identity is a random number in one row of that store, which the first VM creates. VMs name it in
// all that they send to each other, and a receiver rejects what names another one.
//
// A VM of an earlier release names none, and neither does one that has not been able to read it
// yet. What names none is accepted. A VM that doesn't know its own fleet accepts what names one too, but for
// requests that can't be undone.
package fleetidentifier

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
)

// maxLoggedPeers bounds the number of peers for which a rejection is logged.
const maxLoggedPeers = 100

// Counters of what was rejected.
const (
	countRejected = `peer_messages_rejected_total{reason="otherFleet"}`
	countUnknown  = `peer_messages_rejected_total{reason="fleetUnknown"}`
)

// Errors of Learn.
var (
	// ErrOtherStore means that the store is that of another fleet than the store that this process
	// has read before.
	ErrOtherStore = errors.New("the store is that of another fleet now")
	// ErrOtherFleet means that the VMs whose copies of the store this process started with are of
	// another fleet.
	ErrOtherFleet = errors.New("started with copies from VMs of another fleet")
)

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Fleet is what a VM knows of the fleet that it is of. It is safe for concurrent use.
type Fleet struct {
	counter Counter
	logger  *slog.Logger

	mu        sync.Mutex
	identity  uint64 // 0 while unknown
	fromStore bool   // whether the store has confirmed the identity
	logged    map[string]bool
}

// NewFleet returns a Fleet whose identity is unknown.
func NewFleet(counter Counter, logger *slog.Logger) *Fleet {
	return &Fleet{counter: counter, logger: logger, logged: map[string]bool{}}
}

// Identity returns the identity of the fleet; 0 while it is unknown.
func (f *Fleet) Identity() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.identity
}

// isConfirmed returns whether the store has named the identity.
func (f *Fleet) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fromStore
}

// Adopt sets the identity that peer VMs name if none is known. It returns whether the identity is
// that of this VM's fleet then.
func (f *Fleet) Adopt(identity uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.identity == 0 {
		f.identity = identity
		f.logger.Info("fleet identified by peer VMs", "fleet", identity)
	}
	return f.identity == identity
}

// Learn sets the identity that the store names. It returns ErrOtherStore or ErrOtherFleet if
// another one is known, which stays.
func (f *Fleet) Learn(identity uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.identity == 0:
		f.logger.Info("fleet identified", "fleet", identity)
	case f.identity == identity:
	case f.fromStore:
		return fmt.Errorf("%w: %d instead of %d", ErrOtherStore, identity, f.identity)
	default:
		return fmt.Errorf("%w: the store names %d instead of %d", ErrOtherFleet, identity, f.identity)
	}
	f.identity, f.fromStore = identity, true
	return nil
}

// Admit returns whether something that a peer VM sends may be of this fleet: unless both identities are
// known and differ. It counts what is rejected, and logs it once for each sender.
func (f *Fleet) Admit(identity uint64, sender string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if identity == 0 || f.identity == 0 || identity == f.identity {
		return true
	}
	f.counter.Count(countRejected)
	if !f.logged[sender] && len(f.logged) < maxLoggedPeers {
		f.logged[sender] = true
		f.logger.Warn("VM of another fleet rejected", "address", sender, "fleet", identity, "own", f.identity)
	}
	return false
}
