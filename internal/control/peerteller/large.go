package peerteller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// In a large fleet a VM tells a change to the audience of the upstream that it is
// about, which is a few VMs; the other VMs of its domain hear of all its work
// about once a second, and VMs of other domains, from one VM or another of this
// domain, of all work here together. What a VM sends doesn't grow with the fleet.

const (
	// largePeriod is the longest time between two messages to a VM of the same
	// domain. One that would be due within mergeTime is told with others.
	largePeriod = 1300 * time.Millisecond
	mergeTime   = 300 * time.Millisecond
	// summaryPeriod is the time between two summaries to one VM of each other
	// domain.
	summaryPeriod = 500 * time.Millisecond
	// recentTime is how long the audience of an upstream goes on hearing of a VM
	// that has had work there.
	recentTime = 6 * time.Second
)

// Audience returns the VMs that must know at once of changes on an upstream; all
// is true if these are all VMs of its domain.
type Audience func(upstream string) (vms []string, all bool)

// large is the state of a schedule in a large fleet.
type large struct {
	dirty     map[string]string    // upstreams that have changed, and their domains
	recent    map[string]time.Time // upstreams with work, and when it last changed
	told      map[string]time.Time // when each peer was last told
	last      time.Time
	refreshAt time.Time
	summaryAt time.Time
	turn      uint64 // moves on by one VM at each summary
}

func newLarge(vm string) large {
	return large{
		dirty: map[string]string{}, recent: map[string]time.Time{}, told: map[string]time.Time{},
		turn: xxhash.Sum64String(vm),
	}
}

func (s *Schedule) isLarge() bool { return s.audience != nil && s.peers >= placer.MaxFullMeshVMs }

// nextLarge returns when any peer is told next.
func (s *Schedule) nextLarge() time.Time {
	next := s.large.refreshAt
	if due := s.large.last.Add(nearPeriod); (len(s.large.dirty) > 0 || len(s.vms) > 0) && due.Before(next) {
		next = due
	}
	return next
}

// takeLarge returns the peers that are told now.
func (s *Schedule) takeLarge(peers []Peer, now time.Time) []Peer {
	must := s.mustKnowNow(now)
	var told []Peer
	s.large.refreshAt = now.Add(largePeriod)
	for _, p := range peers {
		due := s.large.told[p.VM].Add(largePeriod)
		isDue := p.Domain == s.domain && !now.Add(mergeTime).Before(due)
		if must.vms[p.VM] || isDue || (!p.Remote && must.domains[p.Domain]) {
			told = append(told, p)
			s.large.told[p.VM] = now
			continue
		}
		if p.Domain == s.domain && due.Before(s.large.refreshAt) {
			s.large.refreshAt = due
		}
	}
	s.large.last = now
	return told
}

// recipients are VMs by name, and all VMs of some domains of this region.
type recipients struct {
	vms     map[string]bool
	domains map[string]bool
}

// mustKnowNow returns the VMs that must be told of the changes since the last
// call, or of work that this VM has not told them of for long.
func (s *Schedule) mustKnowNow(now time.Time) recipients {
	must := recipients{vms: map[string]bool{}, domains: map[string]bool{}}
	for upstream, domain := range s.large.dirty {
		s.large.recent[upstream] = now
		vms, all := s.audience(upstream)
		if all {
			must.domains[domain] = true
		}
		for _, vm := range vms {
			must.vms[vm] = true
		}
	}
	for upstream, at := range s.large.recent {
		if now.Sub(at) > recentTime {
			delete(s.large.recent, upstream)
			continue
		}
		vms, _ := s.audience(upstream)
		for _, vm := range vms {
			if now.Sub(s.large.told[vm]) >= largePeriod {
				must.vms[vm] = true
			}
		}
	}
	for vm := range s.vms {
		must.vms[vm] = true
	}
	clear(s.large.dirty)
	clear(s.vms)
	return must
}

// TakeSummaryDue returns the peers that are told a summary of this VM's domain now: one
// in each other domain, another one each time.
func (s *Schedule) TakeSummaryDue(peers []Peer, now time.Time) []Peer {
	if !s.isLarge() || now.Before(s.large.summaryAt) {
		return nil
	}
	s.large.summaryAt = now.Add(summaryPeriod)
	s.large.turn++
	domains := map[string][]Peer{}
	for _, p := range peers {
		if p.Domain != s.domain {
			domains[p.Domain] = append(domains[p.Domain], p)
		}
	}
	var told []Peer
	for _, inDomain := range domains {
		told = append(told, inDomain[s.large.turn%uint64(len(inDomain))])
	}
	slices.SortFunc(told, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return told
}
