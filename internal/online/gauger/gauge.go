// Package gauger measures each upstream from the requests that this VM has on
// it. A gauge is written by traffic and read by the choice of upstream without
// a lock, so it knows of a burst or a slow spell long before a load report.
package gauger

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// gapWeight is the weight of a new gap between tokens in its average.
	gapWeight = 0.2
	// slowMemory is the time after which a slow spell that was seen is half
	// forgotten, so that the upstream is tried again.
	slowMemory = time.Second
	// stallGaps is the number of typical gaps without any event after which an
	// upstream with requests in flight counts as stalled.
	stallGaps = 3
	// freshTime is how long the word of other VMs' requests is taken as true for
	// upstreams whose keeper doesn't tell of every change.
	freshTime = 500 * time.Millisecond
	// shortPromptBytes is the size up to which a prompt takes no notable time.
	shortPromptBytes = 2 << 10
	// maxSlowness bounds the factor by which an upstream counts as slow.
	maxSlowness = 50
)

// Gauge is what one VM knows of one upstream.
type Gauge struct {
	online        atomic.Int32
	batch         atomic.Int32
	others        atomic.Int32
	credits       atomic.Int32 // requests that may be sent before more is heard
	heardAt       atomic.Int64 // Unix nanoseconds of the last word of others
	foreign       atomic.Int32 // batch requests of the upstream's keeper
	reported      atomic.Int32
	prompts       atomic.Int64  // bytes of the VM's own long prompts without a first token
	othersPrompts atomic.Int64  // the same of other VMs, as last heard
	gap           atomic.Uint64 // float64 bits, nanoseconds
	gapAt         atomic.Int64  // Unix nanoseconds of the last gap
	progress      atomic.Int64  // Unix nanoseconds of the last event or start
	blockedTo     atomic.Int64  // Unix nanoseconds until which nothing is sent
	failures      atomic.Int32
	slow          atomic.Uint64 // float64 bits, the slowness last marked
	slowAt        atomic.Int64  // Unix nanoseconds of the mark
	leaving       atomic.Bool
	listed        atomic.Bool // the platform's list says that it is leaving
}

// Online returns the VM's own online requests in flight.
func (g *Gauge) Online() int { return int(g.online.Load()) }

// Batch returns the VM's own batch requests in flight.
func (g *Gauge) Batch() int { return int(g.batch.Load()) }

// PeerOnline returns the online requests of other VMs, as last heard.
func (g *Gauge) PeerOnline() int { return int(g.others.Load()) }

// SetPeerOnline keeps the number of online requests of other VMs, heard at a time.
func (g *Gauge) SetPeerOnline(n int, now time.Time) {
	g.others.Store(int32(n))
	g.credits.Store(math.MaxInt32)
	g.heardAt.Store(now.UnixNano())
}

// SetCredits bounds the requests that may be sent before the keeper tells more,
// since all who hear of the same room would take it.
func (g *Gauge) SetCredits(n int) { g.credits.Store(int32(n)) }

// Credits returns how many requests may be sent before the keeper tells more.
func (g *Gauge) Credits() int { return int(g.credits.Load()) }

// Fresh tells whether the keeper has lately told of the other VMs' requests.
func (g *Gauge) Fresh(now time.Time) bool {
	return now.UnixNano()-g.heardAt.Load() < int64(freshTime)
}

// OwnerBatch returns the batch requests of another VM that looks after the
// upstream, as last heard.
func (g *Gauge) OwnerBatch() int { return int(g.foreign.Load()) }

// SetOwnerBatch keeps the number of batch requests of another VM.
func (g *Gauge) SetOwnerBatch(n int) { g.foreign.Store(int32(n)) }

// BeginPrompt counts a prompt of so many bytes that an engine has to work
// through before the first token. Short ones hold nothing up and don't count.
func (g *Gauge) BeginPrompt(bytes int) {
	if bytes > shortPromptBytes {
		g.prompts.Add(int64(bytes))
	}
}

// EndPrompt counts a prompt that an engine has worked through, or given up. It
// returns false if the prompt was a short one.
func (g *Gauge) EndPrompt(bytes int) bool {
	if bytes <= shortPromptBytes {
		return false
	}
	g.prompts.Add(int64(-bytes))
	return true
}

// PromptBytes returns the bytes of the VM's own long prompts that are being worked through.
func (g *Gauge) PromptBytes() int { return int(g.prompts.Load()) }

// SetPeerPromptBytes keeps the bytes of other VMs' long prompts.
func (g *Gauge) SetPeerPromptBytes(bytes int) { g.othersPrompts.Store(int64(bytes)) }

// TotalPromptBytes returns the bytes of all VMs' long prompts that are being worked
// through, as far as known.
func (g *Gauge) TotalPromptBytes() int { return g.PromptBytes() + int(g.othersPrompts.Load()) }

// ReportedLoad returns the running and waiting requests of the last load report.
func (g *Gauge) ReportedLoad() int { return int(g.reported.Load()) }

// SetReportedLoad keeps the running and waiting requests of a load report.
func (g *Gauge) SetReportedLoad(n int) { g.reported.Store(int32(n)) }

// OnlineTotal returns the online requests of all VMs, as far as known.
func (g *Gauge) OnlineTotal() int { return g.Online() + g.PeerOnline() }

// BeginOnline counts an online request that is about to be sent.
func (g *Gauge) BeginOnline(now time.Time) {
	g.credits.Add(-1)
	g.online.Add(1)
	g.begin(now)
}

// EndOnline counts an online request that is over.
func (g *Gauge) EndOnline() { g.online.Add(-1) }

// BeginBatch counts a batch request that is about to be sent.
func (g *Gauge) BeginBatch(now time.Time) {
	g.batch.Add(1)
	g.begin(now)
}

// EndBatch counts a batch request that is over.
func (g *Gauge) EndBatch() { g.batch.Add(-1) }

// begin restarts the stall clock of an upstream that was idle.
func (g *Gauge) begin(now time.Time) {
	if g.Online()+g.Batch() == 1 {
		g.progress.Store(now.UnixNano())
	}
}

// RecordEvent notes an event from the upstream. The gap is the time since the
// previous event of the same stream, or 0 for a first event.
func (g *Gauge) RecordEvent(now time.Time, gap time.Duration) {
	g.progress.Store(now.UnixNano())
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

// Gap returns the average time between tokens, or 0 if none was seen.
func (g *Gauge) Gap() time.Duration {
	return time.Duration(math.Float64frombits(g.gap.Load()))
}

// RecordFailure notes a failed attempt; the upstream is left alone for a time that
// doubles with each failure in a row.
func (g *Gauge) RecordFailure(now time.Time, base time.Duration) {
	const maxDoublings = 5
	failures := g.failures.Add(1)
	wait := base << min(failures-1, maxDoublings)
	g.blockedTo.Store(now.Add(wait).UnixNano())
}

// Healthy tells whether the upstream has answered since its last failure.
func (g *Gauge) Healthy() bool { return g.failures.Load() == 0 }

// SetDraining keeps whether the upstream is leaving.
func (g *Gauge) SetDraining(leaving bool) { g.leaving.Store(leaving) }

// SetListedDraining keeps whether the platform lists the upstream as leaving.
func (g *Gauge) SetListedDraining(leaving bool) { g.listed.Store(leaving) }

// Draining tells whether the upstream is leaving, by itself or by the list.
func (g *Gauge) Draining() bool { return g.leaving.Load() || g.listed.Load() }

// Usable tells whether new requests may be sent.
func (g *Gauge) Usable(now time.Time) bool {
	return !g.Draining() && now.UnixNano() >= g.blockedTo.Load()
}

// Slowness returns the factor by which an upstream that runs so many sequences
// is slower than the typical gap between tokens of its pool: 1 for an ordinary
// one. Silence says nothing of one that is over full: requests wait there.
func (g *Gauge) Slowness(now time.Time, typical time.Duration, sequences int) float64 {
	if typical <= 0 {
		return 1
	}
	slowness := g.remembered(now, typical)
	if g.Online()+g.Batch() > 0 && g.OnlineTotal() <= sequences {
		silent := now.UnixNano() - g.progress.Load()
		stalled := float64(silent) / float64(stallGaps*typical)
		slowness = max(slowness, stalled)
	}
	return min(max(slowness, 1), maxSlowness)
}

func (g *Gauge) remembered(now time.Time, typical time.Duration) float64 {
	byGap := faded(float64(g.Gap())/float64(typical), now, g.gapAt.Load())
	return max(byGap, g.marked(now))
}

// marked returns what is left of the last mark.
func (g *Gauge) marked(now time.Time) float64 {
	return faded(math.Float64frombits(g.slow.Load()), now, g.slowAt.Load())
}

// faded returns what is left of a slowness that was seen at a time.
func faded(slowness float64, now time.Time, at int64) float64 {
	if slowness <= 1 {
		return 1
	}
	age := float64(now.UnixNano() - at)
	return 1 + (slowness-1)*math.Exp2(-age/float64(slowMemory))
}

// MarkSlow notes a slowness that this VM or another has seen. It returns false
// if at least as much was known already.
func (g *Gauge) MarkSlow(now time.Time, slowness float64) bool {
	slowness = min(slowness, maxSlowness)
	if slowness <= g.marked(now) {
		return false
	}
	g.slow.Store(math.Float64bits(slowness))
	g.slowAt.Store(now.UnixNano())
	return true
}
