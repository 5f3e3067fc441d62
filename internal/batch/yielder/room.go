// Package yielder decides how much batch work may stand on an upstream whose
// engine knows no priorities. The VM that looks after an upstream is the only
// one that puts batch work on it, and every other VM tells it at once of its
// online requests there, so that batch work yields within a message's time and
// not a load report's.
package yielder

import "time"

const (
	// riseWindow is the time in which batch work can yield to a burst.
	riseWindow = 10 * time.Millisecond
	// riseMemory is the time after which the largest rise seen is halved.
	riseMemory = time.Second
	// riseShare bounds what is kept free for rises, as a divisor of the
	// sequences.
	riseShare = 8
	// raiseWait is the time for which online work must stay lower before batch
	// work takes its place, so that batch work doesn't start only to yield.
	raiseWait = 20 * time.Millisecond
	// calmWait is the time without online work after which an upstream counts as
	// batch work's alone.
	calmWait = 100 * time.Millisecond
	percent  = 100
)

// sample is the online total from a time on.
type sample struct {
	at    time.Time
	total int
}

// Limiter is what the VM that looks after an upstream knows of its online work.
type Limiter struct {
	sequences int
	reserve   int
	share     int
	online    map[string]int
	total     int
	samples   []sample
	rise      float64
	riseAt    time.Time
	notBefore time.Time
	busyAt    time.Time // when there was online work last
}

// New returns the room of an upstream that runs so many sequences, of which
// batch work leaves reserve free and takes at most share percent. Nothing is
// allowed before a time, since a previous keeper's batch work may still run.
func New(sequences, reserve, share int, notBefore time.Time) *Limiter {
	return &Limiter{
		sequences: sequences, reserve: reserve, share: share,
		online: map[string]int{}, notBefore: notBefore, samples: []sample{{}},
	}
}

// Configure changes the room's bounds.
func (r *Limiter) Configure(sequences, reserve, share int) {
	r.sequences, r.reserve, r.share = sequences, reserve, share
}

// SetOnline takes the number of online requests that a VM has on the upstream.
func (r *Limiter) SetOnline(vm string, n int, now time.Time) {
	before := r.total
	r.total += n - r.online[vm]
	r.online[vm] = n
	if n == 0 {
		delete(r.online, vm)
	}
	if r.total == before {
		return
	}
	r.busyAt = now
	r.forget(now)
	r.samples = append(r.samples, sample{at: now, total: r.total})
	r.noteRise(now)
}

// RemoveVM forgets the requests of a VM that is gone.
func (r *Limiter) RemoveVM(vm string, now time.Time) { r.SetOnline(vm, 0, now) }

// VMs returns the VMs that have online requests on the upstream.
func (r *Limiter) VMs() []string {
	vms := make([]string, 0, len(r.online))
	for vm := range r.online {
		vms = append(vms, vm)
	}
	return vms
}

// TotalOnline returns the online requests of all VMs.
func (r *Limiter) TotalOnline() int { return r.total }

// OnlineExcept returns the online requests of all VMs but one.
func (r *Limiter) OnlineExcept(vm string) int { return r.total - r.online[vm] }

// forget drops samples that no window needs any more, but for the last one,
// which still holds.
func (r *Limiter) forget(now time.Time) {
	for len(r.samples) > 1 && now.Sub(r.samples[1].at) > raiseWait {
		r.samples = r.samples[1:]
	}
}

// noteRise keeps how far online work has lately risen within the time in which
// batch work can yield. That much is kept free, as a burst that large would
// find batch work still in its place.
func (r *Limiter) noteRise(now time.Time) {
	lowest := r.total
	for i, s := range r.samples {
		last := i == len(r.samples)-1
		if !last && now.Sub(r.samples[i+1].at) > riseWindow {
			continue // replaced before the window began
		}
		lowest = min(lowest, s.total)
	}
	rise := float64(r.total - lowest)
	if rise >= r.currentRise(now) {
		r.rise, r.riseAt = rise, now
	}
}

func (r *Limiter) currentRise(now time.Time) float64 {
	rise := r.rise
	for age := now.Sub(r.riseAt); age >= riseMemory && rise >= 1; age -= riseMemory {
		rise /= 2
	}
	return rise
}

// Limit returns how many batch requests may be on the upstream if batch work
// has so many now. It falls as soon as online work rises, and rises only once
// online work has stayed lower for a while.
func (r *Limiter) Limit(batch int, now time.Time) int {
	if now.Before(r.notBefore) {
		return 0
	}
	keep := r.keep(now)
	most := r.sequences * r.share / percent
	limit := min(most, r.sequences-keep-r.total)
	if limit > batch {
		calm := min(most, r.sequences-keep-r.highest(now))
		limit = max(calm, min(batch, limit))
	}
	return max(limit, 0)
}

// OnlineIdle tells whether the upstream has had no online work for a while.
func (r *Limiter) OnlineIdle(now time.Time) bool {
	return r.total == 0 && now.Sub(r.busyAt) > calmWait
}

// QueueDepth returns how many more batch requests than the limit may wait on the
// upstream itself. A sequence that ends is taken in the engine's next step only
// by a request that is there already; one that is sent then comes a step late.
// Nothing waits on an upstream that has online work or leaves room for it.
func (r *Limiter) QueueDepth(limit int, now time.Time) int {
	if limit < r.sequences || !r.OnlineIdle(now) {
		return 0
	}
	return 1
}

// keep returns how many sequences stay free for online work. An upstream that
// online work has filled but for its last sequence gets no more of it, as VMs
// leave the last one to each other; batch work may have it.
func (r *Limiter) keep(now time.Time) int {
	if r.total >= r.sequences-1 {
		return r.reserve
	}
	return max(r.reserve, min(int(r.currentRise(now)), r.sequences/riseShare))
}

// highest returns the largest total within the raise wait.
func (r *Limiter) highest(now time.Time) int {
	r.forget(now)
	highest := r.total
	for i, s := range r.samples {
		last := i == len(r.samples)-1
		if !last && now.Sub(r.samples[i+1].at) > raiseWait {
			continue
		}
		highest = max(highest, s.total)
	}
	return highest
}
