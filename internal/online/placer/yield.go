package placer

import (
	"cmp"
	"slices"
	"time"
)

// Yield returns the batch slots that this VM must give up now, the least urgent first
// and the newest first among equally urgent ones. Each slot is returned once and
// counts until it is released. Where several VMs have batch work on an upstream, the
// VM with the greatest name yields first, so that all VMs that see the same counts
// agree.
func (p *Placer) Yield(now time.Time) []*Slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	var yielding []*Slot
	for _, u := range p.upstreams {
		if u.localCount.Batch == 0 {
			continue
		}
		excess := u.load(now) - u.Sequences
		if excess <= 0 {
			continue
		}
		yielding = append(yielding, u.markYielding(min(excess-p.yieldedByPeers(u), u.localCount.Batch))...)
	}
	return yielding
}

// yieldedByPeers returns the number of batch requests on the upstream of VMs that yield
// before this one.
func (p *Placer) yieldedByPeers(u *upstream) int {
	n := 0
	for vm, last := range p.peers {
		if vm > p.self {
			n += last.counts[u.ID].Batch
		}
	}
	return n
}

// markYielding marks batch slots as yielding until n are, the least urgent first and
// the newest first among equally urgent ones. It returns the newly marked slots.
func (u *upstream) markYielding(n int) []*Slot {
	var running []*Slot
	for _, slot := range slices.Backward(u.batchSlots) {
		if slot.yielding {
			n--
			continue
		}
		running = append(running, slot)
	}
	slices.SortStableFunc(running, func(a, b *Slot) int { return cmp.Compare(a.urgency, b.urgency) })
	running = running[:min(max(n, 0), len(running))]
	for _, slot := range running {
		slot.yielding = true
	}
	return running
}
