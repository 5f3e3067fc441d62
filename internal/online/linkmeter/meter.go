// Package linkmeter counts what this VM sends over the link between regions,
// by purpose, and keeps it under the VM's share of a budget.
package linkmeter

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Purpose names what crosses the link.
type Purpose string

// The purposes of what crosses the link.
const (
	PurposeOnline  Purpose = "online"
	PurposeService Purpose = "service"
)

// burstTime is how much of the budget may be used at once.
const burstTime = 2 * time.Second

const bitsPerByte = 8

// Counter counts events by name.
type Counter interface {
	Add(name string, n int)
}

// Meter is one VM's part of the link.
type Meter struct {
	counter Counter
	limiter atomic.Pointer[rate.Limiter]
}

// New returns a meter without a budget.
func New(counter Counter) *Meter { return &Meter{counter: counter} }

// SetBudget sets the megabits a second that all VMs of a region may use
// together, and how many VMs there are; 0 megabits means no bound.
func (m *Meter) SetBudget(megabits, vms int) {
	if megabits == 0 {
		m.limiter.Store(nil)
		return
	}
	const bitsPerMegabit = 1_000_000
	bytes := float64(megabits) * bitsPerMegabit / bitsPerByte / float64(max(vms, 1))
	old := m.limiter.Load()
	if old != nil && old.Limit() == rate.Limit(bytes) {
		return
	}
	m.limiter.Store(rate.NewLimiter(rate.Limit(bytes), int(bytes*burstTime.Seconds())))
}

// Allows tells whether the budget has anything left. What a request will take
// isn't known before, so a budget that was overdrawn recovers first.
func (m *Meter) Allows(now time.Time) bool {
	limiter := m.limiter.Load()
	return limiter == nil || limiter.TokensAt(now) > 0
}

// Count takes bytes from the budget and counts them.
func (m *Meter) Count(purpose Purpose, bytes int, now time.Time) {
	m.counter.Add(fmt.Sprintf("region_link_bytes_total{purpose=%q}", purpose), bytes)
	if limiter := m.limiter.Load(); limiter != nil {
		limiter.ReserveN(now, min(bytes, limiter.Burst()))
	}
}
