// Package rationer limits the memory in which a VM holds bytes for callers, such
// as request bodies: each holder reserves its bytes from a fixed budget, so that
// memory use stays bounded whatever callers send.
package rationer

import "sync"

// Rationer is a memory budget. It is safe for concurrent use.
type Rationer struct {
	mu        sync.Mutex
	available int64 // bytes
}

// New returns a Rationer with a budget in bytes.
func New(bytes int64) *Rationer { return &Rationer{available: bytes} }

// TryAcquire takes bytes from the budget. It returns false, and takes none, if
// fewer are available.
func (r *Rationer) TryAcquire(bytes int64) bool { return r.TryAcquireSparing(bytes, 0) }

// TryAcquireSparing is TryAcquire for holders that must leave a number of bytes to others: it also takes none if
// fewer than these would stay available.
func (r *Rationer) TryAcquireSparing(bytes, spared int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes > r.available-spared {
		return false
	}
	r.available -= bytes
	return true
}

// Release returns bytes that TryAcquire took to the budget.
func (r *Rationer) Release(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.available += bytes
}

// Available returns the number of bytes that are not reserved.
func (r *Rationer) Available() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.available
}

// Reservation is the bytes that one holder has reserved from a budget. It is not
// safe for concurrent use.
type Reservation struct {
	budget *Rationer
	bytes  int64
}

// NewReservation returns an empty reservation.
func (r *Rationer) NewReservation() *Reservation { return &Reservation{budget: r} }

// Grow reserves more bytes. It returns false, and reserves none, if fewer are
// available.
func (r *Reservation) Grow(bytes int64) bool { return r.GrowSparing(bytes, 0) }

// GrowSparing is Grow for holders that must leave a number of bytes to others.
func (r *Reservation) GrowSparing(bytes, spared int64) bool {
	if !r.budget.TryAcquireSparing(bytes, spared) {
		return false
	}
	r.bytes += bytes
	return true
}

// Resize changes the reservation to a number of bytes. It returns false, and changes nothing, if it
// would have to grow and too few are available.
func (r *Reservation) Resize(bytes int64) bool {
	if bytes > r.bytes {
		return r.Grow(bytes - r.bytes)
	}
	r.budget.Release(r.bytes - bytes)
	r.bytes = bytes
	return true
}

// Release returns all reserved bytes to the budget. It may be called more than
// once, and on a nil Reservation.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.Release(r.bytes)
	r.bytes = 0
}
