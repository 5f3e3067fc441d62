// Package yielder limits the batch work on an upstream whose engine has no
// priorities. Only the VM that owns an upstream sends batch work to it. Every other
// VM reports its online requests there to the owner at once, so that batch work
// yields after one message rather than after the next load report.
package yielder

import "time"

const (
	// riseWindow is the time within which batch work can yield to a burst.
	riseWindow = 10 * time.Millisecond
	// riseHalfLife is the time after which the largest observed rise is halved.
	riseHalfLife = time.Second
	// riseDivisor bounds the sequences kept free for rises, as a divisor of all
	// sequences of the upstream.
	riseDivisor = 8
	// limitRaiseDelay is how long online work must stay lower before batch work may use
	// the freed sequences, so that batch work doesn't start only to yield.
	limitRaiseDelay = 20 * time.Millisecond
	// idleDelay is the time without online work after which an upstream counts as
	// used by batch work alone.
	idleDelay = 100 * time.Millisecond
	percent   = 100
)

// sample is the number of online requests from a time until that of the next sample.
type sample struct {
	at          time.Time
	totalOnline int
}

// Limiter tracks the online requests on one upstream and derives from them how many batch
// requests may be there.
type Limiter struct {
	sequences      int
	onlineReserve  int
	batchPercent   int
	onlineByVM     map[string]int
	totalOnline    int
	samples        []sample
	peakRise       float64   // largest recent rise of online work within riseWindow
	peakRiseAt     time.Time // when it was observed; decayedRise counts from here
	notBefore      time.Time
	totalChangedAt time.Time // when the number of online requests last changed
}

// New returns the limiter of an upstream that runs a number of sequences at once.
// Batch work leaves onlineReserve sequences free and uses at most batchPercent of all.
// The limit is 0 until notBefore, since batch work of the previous owner may still run.
func New(sequences, onlineReserve, batchPercent int, notBefore time.Time) *Limiter {
	return &Limiter{
		sequences: sequences, onlineReserve: onlineReserve, batchPercent: batchPercent,
		onlineByVM: map[string]int{}, notBefore: notBefore, samples: []sample{{}},
	}
}

// Configure replaces the bounds that were passed to New.
func (l *Limiter) Configure(sequences, onlineReserve, batchPercent int) {
	l.sequences, l.onlineReserve, l.batchPercent = sequences, onlineReserve, batchPercent
}

// SetOnline sets the number of online requests that a VM has on the upstream.
func (l *Limiter) SetOnline(vm string, n int, now time.Time) {
	previous := l.totalOnline
	l.totalOnline += n - l.onlineByVM[vm]
	l.onlineByVM[vm] = n
	if n == 0 {
		delete(l.onlineByVM, vm)
	}
	if l.totalOnline == previous {
		return
	}
	l.totalChangedAt = now
	l.pruneSamples(now)
	l.samples = append(l.samples, sample{at: now, totalOnline: l.totalOnline})
	l.recordRise(now)
}

// RemoveVM removes the online requests of a VM that is gone.
func (l *Limiter) RemoveVM(vm string, now time.Time) { l.SetOnline(vm, 0, now) }

// VMs returns the VMs that have online requests on the upstream.
func (l *Limiter) VMs() []string {
	vms := make([]string, 0, len(l.onlineByVM))
	for vm := range l.onlineByVM {
		vms = append(vms, vm)
	}
	return vms
}

// TotalOnline returns the online requests of all VMs.
func (l *Limiter) TotalOnline() int { return l.totalOnline }

// OnlineExcept returns the online requests of all VMs but one.
func (l *Limiter) OnlineExcept(vm string) int { return l.totalOnline - l.onlineByVM[vm] }

// pruneSamples removes samples that ended more than limitRaiseDelay ago, the longest
// window. It keeps the last one, which is still in effect.
func (l *Limiter) pruneSamples(now time.Time) {
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) > limitRaiseDelay {
		l.samples = l.samples[1:]
	}
}

// recordRise updates the largest recent rise of online work within riseWindow. As many
// sequences are kept free, because batch work can't yield to a burst of that size in
// time.
func (l *Limiter) recordRise(now time.Time) {
	lowest := l.totalOnline
	for i, s := range l.samples {
		last := i == len(l.samples)-1
		if !last && now.Sub(l.samples[i+1].at) > riseWindow {
			continue // superseded before the window began
		}
		lowest = min(lowest, s.totalOnline)
	}
	rise := float64(l.totalOnline - lowest)
	if rise >= l.decayedRise(now) {
		l.peakRise, l.peakRiseAt = rise, now
	}
}

// decayedRise returns the largest recent rise, halved once per riseHalfLife since then.
func (l *Limiter) decayedRise(now time.Time) float64 {
	rise := l.peakRise
	for age := now.Sub(l.peakRiseAt); age >= riseHalfLife && rise >= 1; age -= riseHalfLife {
		rise /= 2
	}
	return rise
}

// Limit returns how many batch requests may be on the upstream, given the number that
// are there now. The limit falls as soon as online work rises, and rises only once
// online work has stayed lower for limitRaiseDelay.
func (l *Limiter) Limit(batch int, now time.Time) int {
	if now.Before(l.notBefore) {
		return 0
	}
	reserved := l.reservedSequences(now)
	maxBatch := l.sequences * l.batchPercent / percent
	limit := min(maxBatch, l.sequences-reserved-l.totalOnline)
	if limit > batch {
		sustained := min(maxBatch, l.sequences-reserved-l.recentPeak(now))
		limit = max(sustained, min(batch, limit))
	}
	return max(limit, 0)
}

// OnlineIdle reports whether the upstream has had no online work for idleDelay.
func (l *Limiter) OnlineIdle(now time.Time) bool {
	return l.totalOnline == 0 && now.Sub(l.totalChangedAt) > idleDelay
}

// QueueDepth returns how many batch requests beyond the limit may queue on the upstream
// itself. When a sequence ends, the engine's next step starts only a request that is
// already queued there; one that is sent at that time starts a step later. Nothing
// queues on an upstream that has online work or keeps sequences free for it.
func (l *Limiter) QueueDepth(limit int, now time.Time) int {
	if limit < l.sequences || !l.OnlineIdle(now) {
		return 0
	}
	return 1
}

// reservedSequences returns how many sequences stay free for online work. Once online work
// has taken all but the last sequence, no more of it arrives, since each VM leaves the
// last one to the others; batch work may then use it, so only the reserve is kept.
func (l *Limiter) reservedSequences(now time.Time) int {
	if l.totalOnline >= l.sequences-1 {
		return l.onlineReserve
	}
	return max(l.onlineReserve, min(int(l.decayedRise(now)), l.sequences/riseDivisor))
}

// recentPeak returns the largest number of online requests within limitRaiseDelay.
func (l *Limiter) recentPeak(now time.Time) int {
	l.pruneSamples(now)
	recentPeak := l.totalOnline
	for i, s := range l.samples {
		last := i == len(l.samples)-1
		if !last && now.Sub(l.samples[i+1].at) > limitRaiseDelay {
			continue
		}
		recentPeak = max(recentPeak, s.totalOnline)
	}
	return recentPeak
}
