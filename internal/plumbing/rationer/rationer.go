// Package rationer hands out a fixed amount of memory to whatever holds bytes
// for callers, so that a VM's memory is bounded whatever they send.
package rationer

import "sync"

// Rationer has the bytes that are left.
type Rationer struct {
	mu   sync.Mutex
	left int64
}

// New returns a rationer of so many bytes.
func New(bytes int64) *Rationer { return &Rationer{left: bytes} }

// TryAcquire takes bytes and tells whether there were enough.
func (r *Rationer) TryAcquire(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes > r.left {
		return false
	}
	r.left -= bytes
	return true
}

// Release gives bytes back that were taken.
func (r *Rationer) Release(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left += bytes
}

// Available returns the bytes that are left.
func (r *Rationer) Available() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

// Reservation is the bytes that one holder has taken. It is not safe for use by
// several goroutines at once.
type Reservation struct {
	from  *Rationer
	bytes int64
}

// NewReservation returns an empty ration.
func (r *Rationer) NewReservation() *Reservation { return &Reservation{from: r} }

// Grow takes more bytes and tells whether there were enough.
func (n *Reservation) Grow(bytes int64) bool {
	if !n.from.TryAcquire(bytes) {
		return false
	}
	n.bytes += bytes
	return true
}

// Release gives all of it back. It may be called again, and on a nil ration.
func (n *Reservation) Release() {
	if n == nil {
		return
	}
	n.from.Release(n.bytes)
	n.bytes = 0
}
