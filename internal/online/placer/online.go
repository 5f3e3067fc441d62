package placer

import (
	"errors"
	"time"
)

const (
	// onlineRun is the time that an online request is taken to have its place until
	// those of its service have shown how long, and runWeight the weight of a new one
	// in the mean.
	onlineRun = 750 * time.Millisecond
	runWeight = 0.05
	// startTime is what a first event takes once its request has a place.
	startTime = 40 * time.Millisecond
	// queueSpread is the factor by which a wait in a queue may well be longer than
	// expected: it depends on how long a few requests take.
	queueSpread = 2
	// lateReserve bounds the free places on an upstream that requests leave to others
	// which can no longer be in time themselves, and lateShare is the part of all its
	// places, as a divisor, that they leave at most.
	lateReserve = 2
	lateShare   = 3
	// yieldTime is what it takes until a batch request has made room.
	yieldTime = 10 * time.Millisecond
	// slowPenalty is what a first event takes longer on an upstream that is
	// slower by its own usual speed.
	slowPenalty = 60 * time.Millisecond
	// perRequest is what each request that runs beside adds to a first event.
	perRequest = time.Millisecond
	// regionPenalty and remotePenalty weigh the bytes and the delay of an
	// upstream in another failure domain, or another region, as waiting time.
	regionPenalty = 12 * time.Millisecond
	remotePenalty = 40 * time.Millisecond
	// outsidePenalty and lateRegionPenalty weigh that a VM of a large fleet hears
	// late of upstreams outside of its subset and of other domains: those that seem
	// to have room may have none any more.
	outsidePenalty    = 25 * time.Millisecond
	lateRegionPenalty = 30 * time.Millisecond
	// staleSpread is the time that is drawn for upstreams of other domains.
	staleSpread = 30 * time.Millisecond
	// blockedPenalty leaves an upstream that has just failed to the end.
	blockedPenalty = 2 * time.Second
)

// Errors of a request that gets no place.
var (
	// ErrNoUpstream means that no upstream takes the request.
	ErrNoUpstream = errors.New("no upstream")
	// ErrRetryLater means that the request should ask again a little later.
	ErrRetryLater = errors.New("no place in time")
)

// OnlineWork is an online request that looks for a place.
type OnlineWork struct {
	Service string
	Avoid   map[string]bool // upstreams that have already refused or failed it
	// Target is when its first event should come; zero if it doesn't matter.
	Target time.Time
	// WaitUntil is when it takes a place wherever there is one; zero if at once.
	WaitUntil time.Time
}

// Online takes the place at which an online request is expected to begin soonest.
//
// Upstreams take waiting requests in the order in which they came. While a little
// more comes than they can do, all requests would wait in them, each a little longer
// than the one before, until all miss their aim. So a request that would miss it
// waits here instead, and leaves the upstreams' queues to those that can still be in
// time. It gets what place these leave, and any place once it can't wait any longer.
//
// Online returns ErrNoUpstream or ErrLater.
func (p *Placer) AcquireOnline(work OnlineWork, now time.Time) (*Slot, error) {
	place, yielding, err := p.takeOnline(work, now)
	if err != nil {
		return nil, err
	}
	p.changed(Change{Upstream: place.listed.ID, Domain: place.listed.Domain, Yielding: yielding})
	return place, nil
}

// takeOnline also returns the VMs whose batch work must give way.
func (p *Placer) takeOnline(work OnlineWork, now time.Time) (*Slot, []string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *upstream
	var least time.Duration
	members := p.services[work.Service]
	run := p.runOf(work.Service)
	outlook := p.outlook(work.Service, now)
	p.turn++
	for i := range members {
		u := members[(i+p.turn)%len(members)]
		if !u.takesWork() || work.Avoid[u.ID] {
			continue
		}
		wait := u.onlineWait(outlook.free(u, now), run, now) + p.wayTo(u)
		if best == nil || wait < least {
			best, least = u, wait
		}
	}
	if best == nil {
		return nil, nil, ErrNoUpstream
	}
	free := outlook.free(best, now)
	queue := best.queueWait(free, run, now)
	if work.shouldWait(best.Sequences, free, queue, now) {
		return nil, nil, ErrRetryLater
	}
	best.own.Online++
	best.noteFull(now)
	return &Slot{upstream: best, listed: best.Upstream, taken: now, waits: queue > 0}, p.yielding(best, now), nil
}

// shouldWait tells whether a request should wait here, if so many of an upstream's
// places are free for it, or its wait there is expected to be so long.
func (w OnlineWork) shouldWait(places int, free float64, queue time.Duration, now time.Time) bool {
	switch {
	case !now.Before(w.WaitUntil):
		return false
	case now.Add(startTime).After(w.Target): // late already: the last places are for others
		return free < float64(1+min(lateReserve, places/lateShare))
	default:
		queue = time.Duration(queueSpread * float64(queue))
		return free < 1 && now.Add(queue+startTime).After(w.Target)
	}
}

// runOf returns how long an online request of a service has its place. The caller
// holds mu.
func (p *Placer) runOf(service string) time.Duration {
	if run, found := p.runs[service]; found {
		return run
	}
	return onlineRun
}

// noteRun takes in how long a request has had its place. One that had to wait for it
// says nothing of that. The caller holds mu.
func (p *Placer) noteRun(place *Slot, now time.Time) {
	if place.isBatch || place.waits || !place.answered {
		return
	}
	took := float64(now.Sub(place.taken)) / place.upstream.slow(now)
	mean := float64(p.runOf(place.listed.Service))
	p.runs[place.listed.Service] = time.Duration(mean + runWeight*(took-mean))
}

// yielding returns the other VMs with batch work on an upstream that is over
// full.
func (p *Placer) yielding(u *upstream, now time.Time) []string {
	if u.others.Batch == 0 || u.load(now) <= u.Sequences {
		return nil
	}
	var vms []string
	for vm, told := range p.peers {
		if told.counts[u.ID].Batch > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// wayTo returns what an upstream's distance adds to the wait there.
func (p *Placer) wayTo(u *upstream) time.Duration {
	way := p.spread(u)
	switch u.tier {
	case TierDomain:
	case TierOutside:
		way += outsidePenalty
	case TierRegion:
		way += p.regionPenalty()
	case TierRemote:
		way += remotePenalty
	}
	return way
}

func (p *Placer) regionPenalty() time.Duration {
	if p.large {
		return lateRegionPenalty
	}
	return regionPenalty
}

// spread returns a random time for upstreams of other domains. What this VM knows
// of those is a little old, and so is what the others of its domain know: without
// it all of them would send to the same one.
func (p *Placer) spread(u *upstream) time.Duration {
	if u.tier == TierDomain {
		return 0
	}
	return p.draw(staleSpread)
}

// draw returns a random time below a limit.
func (p *Placer) draw(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

// queueWait estimates how long a request waits for its place if all batch work gives
// way and so many places are free then; 0 if there is one.
func (u *upstream) queueWait(free float64, run time.Duration, now time.Time) time.Duration {
	ahead := max(1-free, 0)
	return time.Duration(ahead * float64(run) * u.slow(now) / float64(u.Sequences))
}

// onlineWait estimates the time until an online request's first event, beyond
// what it takes on an empty upstream nearby.
func (u *upstream) onlineWait(free float64, run time.Duration, now time.Time) time.Duration {
	load, slow := u.load(now), u.slow(now)
	wait := time.Duration(min(load, u.Sequences)) * perRequest
	queue := u.queueWait(free, run, now)
	wait += queue
	if queue == 0 && load >= u.Sequences {
		wait += yieldTime
	}
	wait += time.Duration((slow - 1) * float64(slowPenalty))
	if u.failing.ShouldAvoid(now) {
		wait += blockedPenalty
	}
	return wait
}
