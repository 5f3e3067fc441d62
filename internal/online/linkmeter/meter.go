// Package linkmeter counts the bytes that this VM transfers over the link between
// regions, by purpose, and limits them to the VM's share of a budget.
package linkmeter

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Purpose is the kind of traffic on the link.
type Purpose string

// The purposes of traffic on the link.
const (
	PurposeOnline  Purpose = "online"
	PurposeService Purpose = "service"
)

// burstTime is the time whose budget may be used in a single burst.
const burstTime = 2 * time.Second

const bitsPerByte = 8

// Counter adds to a counter by name.
type Counter interface {
	Add(name string, n int)
}

// Meter is the share of one VM in the link.
type Meter struct {
	counter Counter
	limiter atomic.Pointer[rate.Limiter]
}

// New returns a meter without a budget.
func New(counter Counter) *Meter { return &Meter{counter: counter} }

// SetBudget sets the budget, in megabits per second, that all VMs of a region share,
// and the number of these VMs; 0 megabits means no limit.
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

// Allows reports whether any of the budget is left. The size of a transfer is not
// known in advance, so the budget may be overdrawn and then has to recover.
func (m *Meter) Allows(now time.Time) bool {
	limiter := m.limiter.Load()
	return limiter == nil || limiter.TokensAt(now) > 0
}

// Count counts transferred bytes and charges them to the budget. Of a transfer that is
// larger than a burst, only one burst is charged.
func (m *Meter) Count(purpose Purpose, bytes int, now time.Time) {
	m.counter.Add(fmt.Sprintf("region_link_bytes_total{purpose=%q}", purpose), bytes)
	if limiter := m.limiter.Load(); limiter != nil {
		limiter.ReserveN(now, min(bytes, limiter.Burst()))
	}
}
