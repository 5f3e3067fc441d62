package peerteller

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

const (
	// period is the longest time between two messages to a peer.
	period = 400 * time.Millisecond
	// nearPeriod is the shortest time between two messages to the VMs that must
	// know of a change at once: those of this VM's failure domain and, in the same
	// region, of the one whose upstream the change is about, as they are the first
	// to send there.
	nearPeriod = 2 * time.Millisecond
	// regionShare and farShare are the shortest time between two messages to other
	// VMs of the region, and of other regions, for each of them, so that what a VM
	// sends doesn't grow with the fleet. Links between regions are narrow and
	// billed by volume.
	regionShare = 4 * time.Millisecond
	farShare    = 16 * time.Millisecond
	minFar      = 100 * time.Millisecond
	// urgentPeriod is the shortest time between two messages to all VMs at once.
	urgentPeriod = 20 * time.Millisecond
)

// audience is a set of peers that are told together.
type audience uint8

const (
	audienceNear audience = iota
	audienceRegion
	audienceFar
	audiences
)

// Schedule decides when which peers are told. It has no clock of its own.
type Schedule struct {
	domain  string
	dirty   map[string]bool // failure domains that must know at once
	vms     map[string]bool // single VMs that must
	urgent  bool            // all must
	hurried time.Time       // when all were last told at once
	changed [audiences]bool
	last    [audiences]time.Time
	counts  [audiences]int // peers

	peers    int // all of them
	audience Audience
	large    large
}

// NewSchedule returns the schedule of a VM in a failure domain. Without an
// audience each VM tells all others, however many they are.
func NewSchedule(vm, domain string, a Audience) *Schedule {
	return &Schedule{
		domain: domain, dirty: map[string]bool{}, vms: map[string]bool{}, audience: a, large: newLarge(vm),
	}
}

// RecordChange notes that the work on an upstream has changed.
func (s *Schedule) RecordChange(c placer.Change) {
	s.dirty[c.Domain] = true
	if c.Upstream != "" {
		s.large.dirty[c.Upstream] = c.Domain
	}
	for _, vm := range c.Yielding {
		s.vms[vm] = true
	}
	s.urgent = s.urgent || len(c.Failing) > 0
	for a := range s.changed {
		s.changed[a] = true
	}
}

// interval returns the shortest time between two messages to an audience.
func (s *Schedule) interval(a audience) time.Duration {
	switch a {
	case audienceRegion:
		return min(time.Duration(s.counts[a])*regionShare, period)
	case audienceFar:
		return min(max(time.Duration(s.counts[a])*farShare, minFar), 2*period)
	case audienceNear:
		return nearPeriod
	default:
		return period
	}
}

// due returns when an audience is told next.
func (s *Schedule) due(a audience) time.Time {
	if s.changed[a] {
		return s.last[a].Add(s.interval(a))
	}
	return s.last[a].Add(max(period, s.interval(a)))
}

// Next returns when any audience is told next.
func (s *Schedule) Next() time.Time {
	if s.isLarge() {
		return s.nextLarge()
	}
	earliest := s.due(audienceNear)
	for a := audienceRegion; a < audiences; a++ {
		if due := s.due(a); due.Before(earliest) {
			earliest = due
		}
	}
	if urgent := s.hurried.Add(urgentPeriod); s.urgent && urgent.Before(earliest) {
		return urgent
	}
	return earliest
}

// TakeDue returns the peers that are told now.
func (s *Schedule) TakeDue(peers []Peer, now time.Time) []Peer {
	if s.peers = len(peers); s.isLarge() {
		return s.takeLarge(peers, now)
	}
	clear(s.large.dirty)
	s.counts = [audiences]int{}
	for _, p := range peers {
		s.counts[s.audienceOf(p)]++
	}
	hurry := s.urgent && !now.Before(s.hurried.Add(urgentPeriod))
	if hurry {
		s.urgent, s.hurried = false, now
	}
	var ready [audiences]bool
	for a := range audiences {
		if ready[a] = hurry || !now.Before(s.due(a)); ready[a] {
			s.last[a], s.changed[a] = now, false
		}
	}
	var told []Peer
	for _, p := range peers {
		if ready[s.audienceOf(p)] || (ready[audienceNear] && s.mustKnow(p)) {
			told = append(told, p)
		}
	}
	if ready[audienceNear] {
		clear(s.dirty)
		clear(s.vms)
	}
	return told
}

// mustKnow tells whether a peer must know of the last changes at once: it may
// send to an upstream concerned, or has batch work there that must give way.
func (s *Schedule) mustKnow(p Peer) bool {
	return s.vms[p.VM] || (s.dirty[p.Domain] && !p.Remote)
}

func (s *Schedule) audienceOf(p Peer) audience {
	switch {
	case p.Domain == s.domain:
		return audienceNear
	case p.Remote:
		return audienceFar
	default:
		return audienceRegion
	}
}
