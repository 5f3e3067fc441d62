package peerteller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// In a large fleet a VM reports a change at once only to the subscribers of the upstream
// concerned, which are a few VMs. The other VMs of its domain receive a report about once
// a second. VMs of other domains receive summaries of all work in this domain, which every
// VM of it sends to them in turn. So the load of a VM doesn't grow with the fleet.

const (
	// largePeriod is the longest time between two messages to a VM of the same domain. One
	// that would be due within mergeWindow is sent along with the others.
	largePeriod = 1300 * time.Millisecond
	mergeWindow = 300 * time.Millisecond
	// summaryPeriod is the time between two summaries from this VM to another domain.
	summaryPeriod = 500 * time.Millisecond
	// recentWindow is how long the subscribers of an upstream continue to receive periodic
	// reports after the last change of this VM's work on it.
	recentWindow = 6 * time.Second
)

// SubscribersFunc returns the VMs that must be informed at once of changes on an upstream;
// all is true if these are all VMs of the upstream's domain.
type SubscribersFunc func(upstream string) (vms []string, all bool)

// large is the state of a Schedule that only a large fleet uses.
type large struct {
	dirtyUpstreams  map[string]string    // changed upstreams and their domains
	recentUpstreams map[string]time.Time // upstreams with recent work, and the last change of it
	lastSent        map[string]time.Time // time of the last message to each peer
	lastTake        time.Time
	refreshAt       time.Time // when the next periodic message is due
	summaryAt       time.Time // when the next summaries are due
	rotation        uint64    // advances by one at each summary, to choose the next recipient
}

func newLarge(vm string) large {
	return large{
		dirtyUpstreams: map[string]string{}, recentUpstreams: map[string]time.Time{}, lastSent: map[string]time.Time{},
		rotation: xxhash.Sum64String(vm),
	}
}

func (s *Schedule) isLarge() bool {
	return s.subscribers != nil && s.peerCount >= placer.MaxFullMeshVMs
}

// nextLarge returns when the next message to any peer is due.
func (s *Schedule) nextLarge() time.Time {
	next := s.large.refreshAt
	if due := s.large.lastTake.Add(localPeriod); (len(s.large.dirtyUpstreams) > 0 || len(s.yieldingVMs) > 0) && due.Before(next) {
		next = due
	}
	return next
}

// takeLarge returns the peers to which a message is due, and records it as sent.
func (s *Schedule) takeLarge(peers []Peer, now time.Time) []Peer {
	immediate := s.takeImmediateRecipients(now)
	var selected []Peer
	s.large.refreshAt = now.Add(largePeriod)
	for _, p := range peers {
		due := s.large.lastSent[p.VM].Add(largePeriod)
		isDue := p.Domain == s.domain && !now.Add(mergeWindow).Before(due)
		if immediate.vms[p.VM] || isDue || (!p.Remote && immediate.domains[p.Domain]) {
			selected = append(selected, p)
			s.large.lastSent[p.VM] = now
			continue
		}
		if p.Domain == s.domain && due.Before(s.large.refreshAt) {
			s.large.refreshAt = due
		}
	}
	s.large.lastTake = now
	return selected
}

// recipients are single VMs, and all VMs of some failure domains of this region.
type recipients struct {
	vms     map[string]bool
	domains map[string]bool
}

// takeImmediateRecipients returns the VMs that must be informed now: of changes since the
// last call, or of recent work of which they have received no report for largePeriod.
func (s *Schedule) takeImmediateRecipients(now time.Time) recipients {
	immediate := recipients{vms: map[string]bool{}, domains: map[string]bool{}}
	for upstream, domain := range s.large.dirtyUpstreams {
		s.large.recentUpstreams[upstream] = now
		vms, all := s.subscribers(upstream)
		if all {
			immediate.domains[domain] = true
		}
		for _, vm := range vms {
			immediate.vms[vm] = true
		}
	}
	for upstream, at := range s.large.recentUpstreams {
		if now.Sub(at) > recentWindow {
			delete(s.large.recentUpstreams, upstream)
			continue
		}
		vms, _ := s.subscribers(upstream)
		for _, vm := range vms {
			if now.Sub(s.large.lastSent[vm]) >= largePeriod {
				immediate.vms[vm] = true
			}
		}
	}
	for vm := range s.yieldingVMs {
		immediate.vms[vm] = true
	}
	clear(s.large.dirtyUpstreams)
	clear(s.yieldingVMs)
	return immediate
}

// TakeSummaryDue returns the peers to which a summary of this VM's domain is due: one in
// each other domain, in rotation. It returns none in a small fleet.
func (s *Schedule) TakeSummaryDue(peers []Peer, now time.Time) []Peer {
	if !s.isLarge() || now.Before(s.large.summaryAt) {
		return nil
	}
	s.large.summaryAt = now.Add(summaryPeriod)
	s.large.rotation++
	return onePerDomain(peers, s.domain, s.large.rotation)
}

// onePerDomain returns one peer of each domain but the given one, in rotation.
func onePerDomain(peers []Peer, except string, rotation uint64) []Peer {
	domains := map[string][]Peer{}
	for _, p := range peers {
		if p.Domain != except {
			domains[p.Domain] = append(domains[p.Domain], p)
		}
	}
	var selected []Peer
	for _, inDomain := range domains {
		selected = append(selected, inDomain[rotation%uint64(len(inDomain))])
	}
	slices.SortFunc(selected, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return selected
}
