package peerteller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

const (
	// maxPeriod is the longest time between two messages to a peer; for peers of other
	// regions it may be twice that.
	maxPeriod = 400 * time.Millisecond
	// localPeriod is the shortest time between two messages to the VMs that must be
	// informed at once: those of this VM's failure domain and, if the upstream is in the
	// same region, those of the upstream's domain, as these VMs send requests there first.
	localPeriod = 2 * time.Millisecond
	// regionPeriodPerPeer and remotePeriodPerPeer are the shortest time between two
	// messages to the other VMs of this region and of other regions, for each such VM. So
	// the load of a VM doesn't grow with the fleet. Links between regions are narrow and
	// billed by volume, so messages to other regions are also at least minRemotePeriod apart.
	regionPeriodPerPeer = 4 * time.Millisecond
	remotePeriodPerPeer = 16 * time.Millisecond
	minRemotePeriod     = 100 * time.Millisecond
	// minUrgentPeriod takes the place of minRemotePeriod for the failure of an upstream.
	minUrgentPeriod = 20 * time.Millisecond
)

// peerGroup is a set of peers that are sent messages at the same time.
type peerGroup uint8

const (
	groupLocal peerGroup = iota
	groupRegion
	groupRemote
	groupCount
)

// Schedule decides when to send messages to which peers. It has no clock of its own and is
// not safe for concurrent use.
type Schedule struct {
	domain       string
	dirtyDomains map[string]bool       // failure domains with changed upstreams, to be informed at once
	yieldingVMs  map[string]bool       // VMs whose batch work must yield, to be informed at once
	urgent       [groupCount]bool      // whether a group has yet to be informed of a failure
	changed      [groupCount]bool      // whether a group has yet to be informed of a change
	lastSent     [groupCount]time.Time // when a group was last sent messages
	groupSizes   [groupCount]int       // number of peers in each group

	bulletins [bulletinKinds]bulletin

	peerCount   int // number of all peers
	subscribers SubscribersFunc
	large       large
}

// NewSchedule returns the schedule of a VM of a failure domain. If subscribers is nil,
// the VM sends its reports to all others, however many they are.
func NewSchedule(vm, domain string, subscribers SubscribersFunc) *Schedule {
	s := &Schedule{
		domain: domain, dirtyDomains: map[string]bool{}, yieldingVMs: map[string]bool{}, subscribers: subscribers,
		large: newLarge(vm),
	}
	for kind := range s.bulletins {
		s.bulletins[kind].rotation = xxhash.Sum64String(vm)
	}
	return s
}

// Change records a change of this VM's work on an upstream.
func (s *Schedule) Change(c placer.Change) {
	s.dirtyDomains[c.Domain] = true
	if c.Upstream != "" {
		s.large.dirtyUpstreams[c.Upstream] = c.Domain
	}
	for _, vm := range c.Yielding {
		s.yieldingVMs[vm] = true
	}
	for group := range s.changed {
		s.changed[group] = true
		s.urgent[group] = s.urgent[group] || len(c.Failing) > 0
	}
}

// interval returns the shortest time between two messages to a group.
func (s *Schedule) interval(group peerGroup) time.Duration {
	switch group {
	case groupRegion:
		return min(time.Duration(s.groupSizes[group])*regionPeriodPerPeer, maxPeriod)
	case groupRemote:
		shortest := minRemotePeriod
		if s.urgent[group] {
			shortest = minUrgentPeriod
		}
		return min(max(time.Duration(s.groupSizes[group])*remotePeriodPerPeer, shortest), 2*maxPeriod)
	case groupLocal:
		return localPeriod
	default:
		return maxPeriod
	}
}

// due returns when the next message to a group is due.
func (s *Schedule) due(group peerGroup) time.Time {
	if s.changed[group] {
		return s.lastSent[group].Add(s.interval(group))
	}
	return s.lastSent[group].Add(max(maxPeriod, s.interval(group)))
}

// Next returns when the next message to any peer is due.
func (s *Schedule) Next() time.Time {
	next := s.nextReport()
	for _, b := range s.bulletins {
		if !b.next.IsZero() && b.next.Before(next) {
			next = b.next
		}
	}
	return next
}

// nextReport returns when the next report of this VM's work is due.
func (s *Schedule) nextReport() time.Time {
	if s.isLarge() {
		return s.nextLarge()
	}
	earliest := s.due(groupLocal)
	for group := groupRegion; group < groupCount; group++ {
		if due := s.due(group); due.Before(earliest) {
			earliest = due
		}
	}
	return earliest
}

// TakeDue returns the peers to which a message is due, and records it as sent.
func (s *Schedule) TakeDue(peers []Peer, now time.Time) []Peer {
	if s.peerCount = len(peers); s.isLarge() {
		return s.takeLarge(peers, now)
	}
	clear(s.large.dirtyUpstreams)
	s.groupSizes = [groupCount]int{}
	for _, p := range peers {
		s.groupSizes[s.groupOf(p)]++
	}
	var ready [groupCount]bool
	for group := range groupCount {
		if ready[group] = !now.Before(s.due(group)); ready[group] {
			s.lastSent[group], s.changed[group], s.urgent[group] = now, false, false
		}
	}
	var selected []Peer
	for _, p := range peers {
		if ready[s.groupOf(p)] || (ready[groupLocal] && s.needsImmediateReport(p)) {
			selected = append(selected, p)
		}
	}
	if ready[groupLocal] {
		clear(s.dirtyDomains)
		clear(s.yieldingVMs)
	}
	return selected
}

// needsImmediateReport reports whether a peer must be informed of the latest changes at
// once: it may send requests to an upstream concerned, or has batch work there that must
// yield.
func (s *Schedule) needsImmediateReport(p Peer) bool {
	return s.yieldingVMs[p.VM] || (s.dirtyDomains[p.Domain] && !p.Remote)
}

func (s *Schedule) groupOf(p Peer) peerGroup {
	switch {
	case p.Domain == s.domain:
		return groupLocal
	case p.Remote:
		return groupRemote
	default:
		return groupRegion
	}
}
