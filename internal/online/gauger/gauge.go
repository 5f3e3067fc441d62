// Package gauger measures each upstream by the requests that this VM has on it.
// Traffic updates a gauge and the choice of an upstream reads it, both without locks,
// so that a burst or a slow period shows long before the next load report.
package gauger

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// gapWeight is the weight of a new gap between tokens in the moving average.
	gapWeight = 0.2
	// slownessHalfLife is the half-life of an observed slowness, so that the upstream
	// is tried again.
	slownessHalfLife = time.Second
	// stallGaps is the number of typical gaps without any event after which an upstream
	// with requests in flight counts as stalled.
	stallGaps = 3
	// freshWindow is how long a reported number of peer requests is used for upstreams
	// whose owner does not report every change.
	freshWindow = 500 * time.Millisecond
	// shortPromptBytes is the size up to which the processing time of a prompt is
	// negligible.
	shortPromptBytes = 2 << 10
	// maxSlowness bounds the slowness factor of an upstream.
	maxSlowness = 50
)

// Gauge holds the measurements of one VM on one upstream, and what peer VMs and load
// reports say of it.
type Gauge struct {
	online            atomic.Int32
	batch             atomic.Int32
	peerOnline        atomic.Int32
	credits           atomic.Int32 // requests that may be sent before the next report
	peerOnlineAt      atomic.Int64 // Unix nanoseconds of the last report on peer requests
	ownerBatch        atomic.Int32 // batch requests of the upstream's owner
	reportedLoad      atomic.Int32
	promptBytes       atomic.Int64  // bytes of the VM's own long prompts without a first token
	peerPromptBytes   atomic.Int64  // the same for peer VMs, as last reported
	gap               atomic.Uint64 // float64 bits, nanoseconds
	gapAt             atomic.Int64  // Unix nanoseconds of the last gap
	lastProgress      atomic.Int64  // Unix nanoseconds of the last event or start
	blockedUntil      atomic.Int64  // Unix nanoseconds until which nothing is sent
	failures          atomic.Int32
	markedSlowness    atomic.Uint64 // float64 bits, the slowness last marked
	markedAt          atomic.Int64  // Unix nanoseconds of the mark
	announcedDraining atomic.Bool
	listedDraining    atomic.Bool // the platform lists the upstream as draining
}

// Online returns the VM's own online requests in flight.
func (g *Gauge) Online() int { return int(g.online.Load()) }

// Batch returns the VM's own batch requests in flight.
func (g *Gauge) Batch() int { return int(g.batch.Load()) }

// PeerOnline returns the online requests of peer VMs, as last reported.
func (g *Gauge) PeerOnline() int { return int(g.peerOnline.Load()) }

// SetPeerOnline sets the number of online requests of peer VMs, reported at the given
// time, and lifts the bound set by SetCredits.
func (g *Gauge) SetPeerOnline(n int, now time.Time) {
	g.peerOnline.Store(int32(n))
	g.credits.Store(math.MaxInt32)
	g.peerOnlineAt.Store(now.UnixNano())
}

// SetCredits bounds the requests that may be sent before the owner's next report,
// since all VMs that receive a report of free slots would use them.
func (g *Gauge) SetCredits(n int) { g.credits.Store(int32(n)) }

// Credits returns how many requests may be sent before the owner's next report.
func (g *Gauge) Credits() int { return int(g.credits.Load()) }

// Fresh reports whether the owner has recently reported the requests of peer VMs.
func (g *Gauge) Fresh(now time.Time) bool {
	return now.UnixNano()-g.peerOnlineAt.Load() < int64(freshWindow)
}

// OwnerBatch returns the batch requests of the peer VM that owns the upstream, as last
// reported.
func (g *Gauge) OwnerBatch() int { return int(g.ownerBatch.Load()) }

// SetOwnerBatch sets the number of batch requests of the peer VM that owns the
// upstream.
func (g *Gauge) SetOwnerBatch(n int) { g.ownerBatch.Store(int32(n)) }

// BeginPrompt counts a prompt of the given size that an engine must process before the
// first token. Short prompts cause no notable delay and are not counted.
func (g *Gauge) BeginPrompt(bytes int) {
	if bytes > shortPromptBytes {
		g.promptBytes.Add(int64(bytes))
	}
}

// EndPrompt removes a prompt that an engine has processed or abandoned. It returns
// false if the prompt was too short to be counted.
func (g *Gauge) EndPrompt(bytes int) bool {
	if bytes <= shortPromptBytes {
		return false
	}
	g.promptBytes.Add(int64(-bytes))
	return true
}

// PromptBytes returns the size of the VM's own long prompts that are being processed.
func (g *Gauge) PromptBytes() int { return int(g.promptBytes.Load()) }

// SetPeerPromptBytes sets the size of the long prompts of peer VMs.
func (g *Gauge) SetPeerPromptBytes(bytes int) { g.peerPromptBytes.Store(int64(bytes)) }

// TotalPromptBytes returns the size of all VMs' long prompts that are being processed,
// as far as known.
func (g *Gauge) TotalPromptBytes() int { return g.PromptBytes() + int(g.peerPromptBytes.Load()) }

// ReportedLoad returns the running and waiting requests of the last load report.
func (g *Gauge) ReportedLoad() int { return int(g.reportedLoad.Load()) }

// SetReportedLoad sets the running and waiting requests of a load report.
func (g *Gauge) SetReportedLoad(n int) { g.reportedLoad.Store(int32(n)) }

// OnlineTotal returns the online requests of all VMs, as far as known.
func (g *Gauge) OnlineTotal() int { return g.Online() + g.PeerOnline() }

// BeginOnline counts an online request that is about to be sent.
func (g *Gauge) BeginOnline(now time.Time) {
	g.credits.Add(-1)
	g.online.Add(1)
	g.restartStallClock(now)
}

// EndOnline removes a finished online request.
func (g *Gauge) EndOnline() { g.online.Add(-1) }

// BeginBatch counts a batch request that is about to be sent.
func (g *Gauge) BeginBatch(now time.Time) {
	g.batch.Add(1)
	g.restartStallClock(now)
}

// EndBatch removes a finished batch request.
func (g *Gauge) EndBatch() { g.batch.Add(-1) }

// restartStallClock resets the time of the last progress if the upstream was idle.
func (g *Gauge) restartStallClock(now time.Time) {
	if g.Online()+g.Batch() == 1 {
		g.lastProgress.Store(now.UnixNano())
	}
}

// RecordEvent records an event from the upstream. The gap is the time since the
// previous event of the same stream, or 0 for a first event.
func (g *Gauge) RecordEvent(now time.Time, gap time.Duration) {
	g.lastProgress.Store(now.UnixNano())
	g.failures.Store(0)
	if gap <= 0 {
		return
	}
	g.gapAt.Store(now.UnixNano())
	for {
		old := g.gap.Load()
		average := math.Float64frombits(old)
		if average == 0 {
			average = float64(gap)
		}
		average += gapWeight * (float64(gap) - average)
		if g.gap.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}

// Gap returns the average time between tokens, or 0 if none was measured.
func (g *Gauge) Gap() time.Duration {
	return time.Duration(math.Float64frombits(g.gap.Load()))
}

// RecordFailure records a failed attempt. The upstream is not used for a time that
// starts at base and doubles with each consecutive failure.
func (g *Gauge) RecordFailure(now time.Time, base time.Duration) {
	const maxDoublings = 5
	failures := g.failures.Add(1)
	wait := base << min(failures-1, maxDoublings)
	g.blockedUntil.Store(now.Add(wait).UnixNano())
}

// Healthy reports whether the upstream has answered since its last failure.
func (g *Gauge) Healthy() bool { return g.failures.Load() == 0 }

// SetDraining sets whether the upstream has announced that it is draining.
func (g *Gauge) SetDraining(draining bool) { g.announcedDraining.Store(draining) }

// SetListedDraining sets whether the platform lists the upstream as draining.
func (g *Gauge) SetListedDraining(draining bool) { g.listedDraining.Store(draining) }

// Draining reports whether the upstream is draining, as announced or as listed.
func (g *Gauge) Draining() bool { return g.announcedDraining.Load() || g.listedDraining.Load() }

// Usable reports whether new requests may be sent.
func (g *Gauge) Usable(now time.Time) bool {
	return !g.Draining() && now.UnixNano() >= g.blockedUntil.Load()
}

// Slowness returns the factor by which an upstream with the given number of sequences
// is slower than the typical gap between tokens of its pool; 1 is normal. The absence
// of events says nothing about an upstream with more requests than sequences, where
// requests queue.
func (g *Gauge) Slowness(now time.Time, typical time.Duration, sequences int) float64 {
	if typical <= 0 {
		return 1
	}
	slowness := g.recentSlowness(now, typical)
	if g.Online()+g.Batch() > 0 && g.OnlineTotal() <= sequences {
		sinceProgress := now.UnixNano() - g.lastProgress.Load()
		stalled := float64(sinceProgress) / float64(stallGaps*typical)
		slowness = max(slowness, stalled)
	}
	return min(max(slowness, 1), maxSlowness)
}

func (g *Gauge) recentSlowness(now time.Time, typical time.Duration) float64 {
	byGap := decay(float64(g.Gap())/float64(typical), now, g.gapAt.Load())
	return max(byGap, g.decayedMark(now))
}

// decayedMark returns the last marked slowness after its decay.
func (g *Gauge) decayedMark(now time.Time) float64 {
	return decay(math.Float64frombits(g.markedSlowness.Load()), now, g.markedAt.Load())
}

// decay returns what remains of a slowness observed at a time in Unix nanoseconds.
func decay(slowness float64, now time.Time, at int64) float64 {
	if slowness <= 1 {
		return 1
	}
	age := float64(now.UnixNano() - at)
	return 1 + (slowness-1)*math.Exp2(-age/float64(slownessHalfLife))
}

// MarkSlow records a slowness that this VM or a peer has observed. It returns false if
// at least as much was known already.
func (g *Gauge) MarkSlow(now time.Time, slowness float64) bool {
	slowness = min(slowness, maxSlowness)
	if slowness <= g.decayedMark(now) {
		return false
	}
	g.markedSlowness.Store(math.Float64bits(slowness))
	g.markedAt.Store(now.UnixNano())
	return true
}
