package placer

import (
	"errors"
	"math"
	"time"
)

const (
	// defaultSlotTime is how long an online request is assumed to hold its slot until a
	// request of its service has been measured; slotTimeWeight is the weight of a new
	// measurement in the moving average.
	defaultSlotTime = 750 * time.Millisecond
	slotTimeWeight  = 0.05
	// firstEventTime is the time from the acquisition of a free slot to the first
	// event.
	firstEventTime = 40 * time.Millisecond
	// queueWaitFactor is the factor by which a queue wait may exceed its estimate, as
	// it depends on the duration of only a few requests.
	queueWaitFactor = 2
	// shortQueueDivisor is the divisor by which a queue wait may fall short of its estimate.
	shortQueueDivisor = 2
	// lateReservedSlots bounds the free slots of an upstream that requests which
	// already miss their latency target leave to others; lateReserveDivisor bounds them
	// to a share of all its slots, as a divisor.
	lateReservedSlots  = 2
	lateReserveDivisor = 3
	// yieldReservedSlots is lateReservedSlots of requests that yield to others.
	yieldReservedSlots = 1
	// yieldDelay is the time until a yielding batch request has freed its slot.
	yieldDelay = 10 * time.Millisecond
	// slowPenalty is the time added to the first event on an upstream that takes twice
	// its usual time; it scales with the excess slowness.
	slowPenalty = 60 * time.Millisecond
	// perRequestDelay is the time that each concurrent request adds to the first event.
	perRequestDelay = time.Millisecond
	// regionPenalty and remotePenalty express the traffic and latency costs of an
	// upstream in another failure domain or another region as waiting time.
	regionPenalty = 12 * time.Millisecond
	remotePenalty = 40 * time.Millisecond
	// outsideSubsetPenalty and largeFleetRegionPenalty account for the late reports of
	// a large fleet on upstreams outside the VM's subset and in other domains: those
	// that seem to have free slots may be full by now.
	outsideSubsetPenalty    = 25 * time.Millisecond
	largeFleetRegionPenalty = 30 * time.Millisecond
	// limitPenalty expresses that a request to an upstream with a rate limit uses up what is
	// scarcer there than slots.
	limitPenalty = 20 * time.Millisecond
	// staleJitter bounds the random waiting time added to upstreams outside TierDomain.
	staleJitter = 30 * time.Millisecond
	// failingPenalty makes an upstream that has just failed the last choice.
	failingPenalty = 2 * time.Second
)

// Errors of a request that gets no slot.
var (
	// ErrNoUpstream means that no upstream accepts the request.
	ErrNoUpstream = errors.New("no upstream")
	// ErrRateLimited means that all upstreams that accept the request have got as many
	// requests as they accept at present.
	ErrRateLimited = errors.New("rate limits of all upstreams reached")
	// ErrRetryLater means that the request should ask again a little later.
	ErrRetryLater = errors.New("no slot available in time")
)

// NoRoomError means that the request would not leave the queue of any upstream before its
// deadline. It was not sent.
type NoRoomError struct {
	roomAt time.Time
}

// Error implements error.
func (e *NoRoomError) Error() string { return "no slot expected before the deadline" }

// RoomAt returns when a slot is expected to become free.
func (e *NoRoomError) RoomAt() time.Time { return e.roomAt }

// OnlineWork describes an online request that needs a slot.
type OnlineWork struct {
	Service string
	Avoid   map[string]bool // upstreams that have already rejected or failed it
	// Versions are the software versions that may serve the request; empty for any.
	Versions []string
	// Target is the latency target, the time at which the first event is due. It is zero
	// for none, and WaitUntil must be zero then too.
	Target time.Time
	// WaitUntil is the time from which the request accepts a slot on any upstream,
	// however long the queue there; zero for at once.
	WaitUntil time.Time
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
	// YieldUntil is the time until which the request leaves the last free slots of an upstream
	// to others; zero for not at all.
	YieldUntil time.Time
	// LimitWaitUntil is the time until which the request waits for an upstream whose rate
	// limit allows it, if those of all are reached; zero for not at all.
	LimitWaitUntil time.Time
}

// AcquireOnline acquires a slot on the upstream where the request is expected to start
// soonest.
//
// Upstreams queue requests in the order of arrival. Under a slight overload, all
// requests would wait there, each a little longer than the one before, until all miss
// their latency targets. A request that would miss its target therefore waits in this
// VM, and leaves the queues of the upstreams to requests that can still meet theirs.
// It gets a slot that these leave free, or any slot from WaitUntil on.
//
// AcquireOnline returns ErrNoUpstream, ErrRateLimited, ErrRetryLater or a NoRoomError.
func (p *Placer) AcquireOnline(work OnlineWork, now time.Time) (*Slot, error) {
	slot, yielding, err := p.acquireOnline(work, now)
	if err != nil {
		return nil, err
	}
	p.onChange(Change{Upstream: slot.info.ID, Domain: slot.info.Domain, Yielding: yielding})
	return slot, nil
}

// acquireOnline also returns the VMs whose batch work must yield.
func (p *Placer) acquireOnline(work OnlineWork, now time.Time) (*Slot, []string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *upstream
	var leastWait time.Duration
	shortestQueue := time.Duration(math.MaxInt64)
	members := p.byService[work.Service]
	slotTime := p.meanSlotTime(work.Service)
	estimate := p.loadEstimate(work.Service, now)
	p.rotation++
	isLimited, leavesSlots := false, false
	for i := range members {
		u := members[(i+p.rotation)%len(members)]
		if !u.acceptsWork() || work.Avoid[u.ID] || !p.hasVersion(u, work.Versions, now) {
			continue
		}
		if !p.withinRateLimit(u, false, now) {
			isLimited = true
			continue
		}
		free := estimate.freeSlots(u, now)
		shortestQueue = min(shortestQueue, u.queueWait(free, slotTime, now))
		if free < work.minFreeSlots(u.Sequences, now) {
			leavesSlots = true
			continue
		}
		wait := u.firstEventWait(free, slotTime, now) + p.choicePenalty(u) + p.failureDelay(u, slotTime, now)
		if best == nil || wait < leastWait {
			best, leastWait = u, wait
		}
	}
	_, isMeasured := p.meanSlotTimes[work.Service]
	switch {
	case best == nil && !leavesSlots:
		return nil, nil, work.errNone(isLimited, now)
	case isMeasured && work.missesDeadline(shortestQueue, now):
		return nil, nil, &NoRoomError{roomAt: now.Add(shortestQueue)}
	case best == nil:
		return nil, nil, ErrRetryLater
	}
	free := estimate.freeSlots(best, now)
	queue := best.queueWait(free, slotTime, now)
	if work.shouldWait(free, queue, now) {
		return nil, nil, ErrRetryLater
	}
	best.localCount.Online++
	p.limiter.RecordSend(best.ID, false, now)
	best.updateLastFull(now)
	return &Slot{upstream: best, info: p.describe(best, now), acquiredAt: now, queued: queue > 0}, p.vmsToYield(best, now), nil
}

// errNone returns the error of a request that no upstream can take now, maybe because of rate
// limits.
func (w OnlineWork) errNone(isLimited bool, now time.Time) error {
	switch {
	case !isLimited:
		return ErrNoUpstream
	case now.Before(w.LimitWaitUntil):
		return ErrRetryLater
	default:
		return ErrRateLimited
	}
}

// shouldWait reports whether the request should wait in this VM, given the free slots of the best
// upstream and the estimated queue wait there.
func (w OnlineWork) shouldWait(free float64, queue time.Duration, now time.Time) bool {
	if !now.Before(w.WaitUntil) || w.IsLate(now) {
		return false // minFreeSlots decides where a late request may go
	}
	queue = time.Duration(queueWaitFactor * float64(queue))
	return free < 1 && now.Add(queue+firstEventTime).After(w.Target)
}

// minFreeSlots returns the number of free slots that an upstream with the given number of slots must
// have to be considered: the last ones are for requests that can still be in time, and don't yield.
func (w OnlineWork) minFreeSlots(slots int, now time.Time) float64 {
	switch {
	case !now.Before(w.WaitUntil):
		return math.Inf(-1)
	case w.IsLate(now):
		return float64(1 + min(lateReservedSlots, slots/lateReserveDivisor))
	case now.Before(w.YieldUntil):
		return float64(1 + min(yieldReservedSlots, slots/lateReserveDivisor))
	default:
		return math.Inf(-1)
	}
}

// missesDeadline returns whether the request can't start before its deadline, even if the shortest
// queue moves faster than expected.
func (w OnlineWork) missesDeadline(shortestQueue time.Duration, now time.Time) bool {
	return !w.Deadline.IsZero() && shortestQueue > 0 && now.Add(shortestQueue/shortQueueDivisor).After(w.Deadline)
}

// IsLate returns whether the request would miss its latency target even on a free slot.
func (w OnlineWork) IsLate(now time.Time) bool { return now.Add(firstEventTime).After(w.Target) }

// meanSlotTime returns how long an online request of a service holds its slot on
// average. The caller must hold mu.
func (p *Placer) meanSlotTime(service string) time.Duration {
	if slotTime, found := p.meanSlotTimes[service]; found {
		return slotTime
	}
	return defaultSlotTime
}

// recordSlotTime updates the mean slot time of a service with a slot that is released.
// Batch requests, and requests that were queued or not answered, are ignored. The caller
// must hold mu.
func (p *Placer) recordSlotTime(slot *Slot, now time.Time) {
	if slot.isBatch || slot.queued || !slot.answered {
		return
	}
	took := float64(now.Sub(slot.acquiredAt)) / slot.upstream.currentSlowness(now)
	mean := float64(p.meanSlotTime(slot.info.Service))
	p.meanSlotTimes[slot.info.Service] = time.Duration(mean + slotTimeWeight*(took-mean))
}

// vmsToYield returns the peer VMs with batch work on an upstream that has more
// requests than slots.
func (p *Placer) vmsToYield(u *upstream, now time.Time) []string {
	if u.peerCount.Batch == 0 || u.load(now) <= u.Sequences {
		return nil
	}
	var vms []string
	for vm, last := range p.peers {
		if last.counts[u.ID].Batch > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// choicePenalty returns the waiting time that the distance of an upstream and its rate limit
// count for, with jitter.
func (p *Placer) choicePenalty(u *upstream) time.Duration {
	penalty := p.jitter(u)
	if p.limiter.IsLimited(u.ID) {
		penalty += limitPenalty
	}
	switch u.tier {
	case TierDomain:
	case TierOutsideSubset:
		penalty += outsideSubsetPenalty
	case TierRegion:
		penalty += p.regionPenalty()
	case TierRemote:
		penalty += remotePenalty
	}
	return penalty
}

func (p *Placer) regionPenalty() time.Duration {
	if p.largeFleet {
		return largeFleetRegionPenalty
	}
	return regionPenalty
}

// jitter returns a random waiting time for upstreams outside TierDomain. The load that
// this VM knows of them is outdated, as is that known to the other VMs of its domain:
// without jitter they would all send to the same upstream.
func (p *Placer) jitter(u *upstream) time.Duration {
	if u.tier == TierDomain {
		return 0
	}
	return p.randomBelow(staleJitter)
}

// randomBelow returns a random duration below a limit.
func (p *Placer) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

// queueWait estimates how long a request waits for a slot if all batch work yields and
// the given number of slots is free then. It returns 0 if at least one is.
func (u *upstream) queueWait(free float64, slotTime time.Duration, now time.Time) time.Duration {
	ahead := max(1-free, 0)
	return time.Duration(ahead * float64(slotTime) * u.currentSlowness(now) / float64(u.Sequences))
}

// firstEventWait estimates the time until an online request's first event, beyond the
// time that it takes on an idle upstream nearby.
func (u *upstream) firstEventWait(free float64, slotTime time.Duration, now time.Time) time.Duration {
	load, slow := u.load(now), u.currentSlowness(now)
	wait := time.Duration(min(load, u.Sequences)) * perRequestDelay
	queue := u.queueWait(free, slotTime, now)
	wait += queue
	if queue == 0 && load >= u.Sequences {
		wait += yieldDelay
	}
	wait += time.Duration((slow - 1) * float64(slowPenalty))
	if u.failures.ShouldAvoid(now) {
		wait += failingPenalty
	}
	return wait
}
