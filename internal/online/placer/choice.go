package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// farRoom is the room that an upstream of another region must have for batch
	// work, as a divisor of its sequences: bytes between regions are dear, and its
	// VMs hear late of what goes there.
	farRoom = 2
	// onlineReserve is the number of places on an upstream that batch work leaves
	// free, so that an online request need not wait for one to be made.
	onlineReserve = 1
)

// BatchWork is a batch item that looks for a place.
type BatchWork struct {
	Service string
	Avoid   map[string]bool // upstreams that have just refused it
	// LatestStart is when it would have to start to be done in time.
	LatestStart time.Time
}

// urgency tells how much batch work needs a place now; more is a higher value.
type urgency uint8

const (
	urgencyLate urgency = iota // it can't be done in time any more
	urgencyCalm
	urgencySoon
	urgencies
)

// soonTime is how long before its latest start batch work is urgent.
const soonTime = 6 * time.Second

func (w BatchWork) urgency(now time.Time) urgency {
	switch left := w.LatestStart.Sub(now); {
	case left < 0:
		return urgencyLate
	case left < soonTime:
		return urgencySoon
	default:
		return urgencyCalm
	}
}

// Batch takes a place that batch work may have: one beyond the reserve, as near
// as there is any, on the upstream with most room. In a large fleet that is one of
// the VM's subset.
func (p *Placer) AcquireBatch(work BatchWork, now time.Time) (*Slot, bool) {
	place, found := p.takeBatch(work, now)
	if found {
		p.changed(Change{Upstream: place.listed.ID, Domain: place.listed.Domain})
	}
	return place, found
}

func (p *Placer) takeBatch(work BatchWork, now time.Time) (*Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *upstream
	var most int
	urgent := work.urgency(now)
	members := p.services[work.Service]
	p.turn++
	for i := range members {
		u := members[(i+p.turn)%len(members)]
		if p.large && u.tier != TierDomain {
			continue // it would not hear in time that it must give way there
		}
		room := u.room(now)
		if !u.hasRoom(urgent, now) || !u.takesWork() || work.Avoid[u.ID] || u.failing.ShouldAvoid(now) || u.slow(now) > 1.5 {
			continue
		}
		if best == nil || u.tier < best.tier || (u.tier == best.tier && room > most) {
			best, most = u, room
		}
	}
	if best == nil {
		return nil, false
	}
	best.own.Batch++
	place := &Slot{upstream: best, listed: best.Upstream, taken: now, isBatch: true, urgency: urgent}
	best.batch = append(best.batch, place)
	return place, true
}

// batchSpread is the time over which the VMs that could take a free place are
// spread.
const batchSpread = 12 * time.Millisecond

// batchWait returns how long there must have been room on an upstream for a VM's
// batch work to come: another time for each VM, or all that see a place become
// free would take it at once, and most of them would have to give way again.
func batchWait(vm, upstream string) time.Duration {
	return time.Duration(xxhash.Sum64String(vm+"/"+upstream) % uint64(batchSpread))
}

// room returns the places that batch work may take.
func (u *upstream) room(now time.Time) int { return u.Sequences - onlineReserve - u.load(now) }

// noteFull notes a moment at which there is no room for batch work.
func (u *upstream) noteFull(now time.Time) {
	if u.room(now) < batchRoom(u) {
		u.fullAt = now
	}
}

// hasRoom tells whether there has been room for this VM's batch work for long
// enough. Work that is less urgent waits longer, so that VMs with urgent work
// come first.
func (u *upstream) hasRoom(urgent urgency, now time.Time) bool {
	u.noteFull(now)
	return now.Sub(u.fullAt) > u.batchWait+time.Duration(urgencies-1-urgent)*batchSpread
}

// batchRoom returns the places that must be free on an upstream for batch work to
// go there: more the later its own VMs hear of it.
func batchRoom(u *upstream) int {
	switch u.tier {
	case TierRemote:
		return max(u.Sequences/farRoom, 1)
	case TierRegion, TierOutside:
		return 2
	case TierDomain:
		return 1
	default:
		return 1
	}
}

// Yield returns the batch places that this VM must give up now: the least urgent
// first, of these the newest.
// Each is returned once and counts until Done. Where several VMs have batch work
// on an upstream, the one with the highest name gives way first, so that all
// that see the same counts agree.
func (p *Placer) Yield(now time.Time) []*Slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	var yielding []*Slot
	for _, u := range p.upstreams {
		if u.own.Batch == 0 {
			continue
		}
		excess := u.load(now) - u.Sequences
		if excess <= 0 {
			continue
		}
		yielding = append(yielding, u.dispensable(min(excess-p.yieldedByOthers(u), u.own.Batch))...)
	}
	return yielding
}

// yieldedByOthers returns the batch requests of VMs that give way before this.
func (p *Placer) yieldedByOthers(u *upstream) int {
	n := 0
	for vm, told := range p.peers {
		if vm > p.self {
			n += told.counts[u.ID].Batch
		}
	}
	return n
}

// dispensable marks batch places as stopping, those first that are missed least,
// until n are. It returns those that were not so before.
func (u *upstream) dispensable(n int) []*Slot {
	var running []*Slot
	for _, place := range slices.Backward(u.batch) {
		if place.stopping {
			n--
			continue
		}
		running = append(running, place)
	}
	slices.SortStableFunc(running, func(a, b *Slot) int { return cmp.Compare(a.urgency, b.urgency) })
	running = running[:min(max(n, 0), len(running))]
	for _, place := range running {
		place.stopping = true
	}
	return running
}
