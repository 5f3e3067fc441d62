// Package memberprober detects which entry VMs of a failure domain are alive, with a
// gossip protocol in the style of SWIM. It is deterministic: its output depends only on
// its state, the event and the time passed in. It uses no clock and no socket, and its
// random source is passed to New.
//
// In each period a VM probes one other VM, in shuffled order. It asks two others to probe
// a VM that did not answer. Membership changes spread as rumours that are piggybacked on
// probes and their acknowledgements, so the load of a VM doesn't grow with the fleet.
package memberprober

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

const (
	// ProbePeriod is the time between two probes by one VM.
	ProbePeriod = 500 * time.Millisecond
	// ackTimeout bounds the wait for the answer to a direct probe. An indirect probe, and
	// one on behalf of another VM, may take twice as long.
	ackTimeout = 250 * time.Millisecond
	// suspectTimeout is how long a suspect may refute the suspicion before it counts as dead.
	suspectTimeout = 2 * time.Second
	// forgetTimeout is how long a dead VM is remembered. It is then suspected again if it is
	// still listed, and forgotten otherwise.
	forgetTimeout = 30 * time.Second
	// pauseThreshold is the time without a tick after which the VM concludes that its own
	// process was paused, and doesn't suspect others of what it missed meanwhile.
	pauseThreshold       = time.Second
	indirectProbes       = 2
	maxRumoursPerMessage = 6
	// A rumour is sent in minTransmissions messages, plus the binary logarithm of the number
	// of members.
	minTransmissions = 3
)

// Send is a message to be sent to a peer address.
type Send struct {
	Address string
	Message peer.Message
}

// ListEntry is one entry of the platform's list of VMs, for a VM of this failure domain.
type ListEntry struct {
	VM      string
	Address string
	Leaving bool
}

// Prober is the membership state of one VM.
type Prober struct {
	self          peer.Sender
	random        *rand.Rand
	members       map[string]*Member
	order         []string // IDs of the members in the order of this round of probes
	next          int      // index in order of the next member to probe
	sequence      uint64
	pending       map[uint64]pendingProbe
	rumours       []queuedRumour
	nextProbe     time.Time
	lastTick      time.Time
	configVersion uint64
	changed       bool
}

type pendingProbe struct {
	vm       string
	deadline time.Time
	indirect bool
	// relayTo is the address of the VM that requested this probe, and relaySequence the
	// sequence number of its request; empty for a probe that this VM started itself.
	relayTo       string
	relaySequence uint64
}

// New returns a Prober that knows no other VM.
func New(self peer.Sender, random *rand.Rand) *Prober {
	return &Prober{
		self: self, random: random, members: map[string]*Member{}, pending: map[uint64]pendingProbe{},
	}
}

// SetConfigVersion sets the configuration version that is sent with probes.
func (p *Prober) SetConfigVersion(version uint64) { p.configVersion = version }

// Changed reports whether the set of live members, or a property of one, has changed since
// the last call.
func (p *Prober) Changed() bool {
	changed := p.changed
	p.changed = false
	return changed
}

// Live returns the other VMs that are alive or suspected, sorted by ID.
func (p *Prober) Live() []Member {
	var live []Member
	for _, m := range p.members {
		if m.state != peer.MemberDead {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.sender.VM, b.sender.VM) })
	return live
}

// Dead reports whether a process of a VM was replaced by a newer one or counts as dead. It
// returns false for an unknown VM.
func (p *Prober) Dead(vm string, process uint64) bool {
	m, found := p.members[vm]
	if !found {
		return false
	}
	current := m.sender.Process()
	return process < current || (process == current && m.state == peer.MemberDead)
}

// SetList updates the members from the platform's list. A newly listed VM is alive until
// probes fail. One that is no longer listed is probed until it is dead.
func (p *Prober) SetList(list []ListEntry) {
	listed := map[string]bool{}
	for _, entry := range list {
		if entry.VM == p.self.VM {
			continue
		}
		listed[entry.VM] = true
		m, found := p.members[entry.VM]
		if !found {
			m = &Member{sender: peer.Sender{VM: entry.VM, Address: entry.Address}, state: peer.MemberAlive}
			p.members[entry.VM] = m
			p.changed = true
		}
		m.listed = true
		p.changed = p.changed || m.leaving != entry.Leaving
		m.leaving = entry.Leaving
	}
	for vm, m := range p.members {
		m.listed = listed[vm]
	}
}

// Tick advances the time and returns the messages to send. It must be called several times
// per ProbePeriod.
func (p *Prober) Tick(now time.Time) []Send {
	paused := !p.lastTick.IsZero() && now.Sub(p.lastTick) > pauseThreshold
	p.lastTick = now
	if paused {
		p.resetDeadlines(now)
	}
	sends := p.expireProbes(now)
	p.expireMembers(now)
	if now.Before(p.nextProbe) {
		return sends
	}
	p.nextProbe = now.Add(ProbePeriod)
	target := p.nextTarget()
	if target == nil {
		return sends
	}
	return append(sends, p.probe(target, pendingProbe{vm: target.sender.VM, deadline: now.Add(ackTimeout)}))
}

// resetDeadlines discards the pending probes and restarts the timeouts of suspicions, as
// answers may have been missed while the process was paused.
func (p *Prober) resetDeadlines(now time.Time) {
	clear(p.pending)
	for _, m := range p.members {
		if m.state == peer.MemberSuspect {
			m.stateUntil = now.Add(suspectTimeout)
		}
	}
}

func (p *Prober) probe(target *Member, pending pendingProbe) Send {
	p.sequence++
	p.pending[p.sequence] = pending
	message := peer.Probe{Sequence: p.sequence, Rumours: p.takeRumours(), ConfigVersion: p.configVersion}
	if target.state == peer.MemberSuspect {
		message.Rumours = append(message.Rumours, peer.Rumour{Member: target.sender, State: peer.MemberSuspect})
	}
	return Send{Address: target.sender.Address, Message: message}
}

// nextTarget returns the next member in a shuffled round-robin order, so that every member
// is probed once per round. It returns nil if there is none.
func (p *Prober) nextTarget() *Member {
	for range 2 {
		for p.next < len(p.order) {
			m := p.members[p.order[p.next]]
			p.next++
			if m != nil && m.state != peer.MemberDead {
				return m
			}
		}
		p.order = p.order[:0]
		for vm := range p.members {
			p.order = append(p.order, vm)
		}
		slices.Sort(p.order)
		p.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
		p.next = 0
	}
	return nil
}

func (p *Prober) expireProbes(now time.Time) []Send {
	var sends []Send
	for _, sequence := range p.expiredProbes(now) {
		pending := p.pending[sequence]
		delete(p.pending, sequence)
		m := p.members[pending.vm]
		if pending.relayTo != "" || m == nil || m.state == peer.MemberDead {
			continue
		}
		if pending.indirect {
			p.markSuspect(m, now)
			continue
		}
		sends = append(sends, p.probeIndirectly(sequence, m, now)...)
	}
	return sends
}

func (p *Prober) expiredProbes(now time.Time) []uint64 {
	var expired []uint64
	for sequence, pending := range p.pending {
		if !now.Before(pending.deadline) {
			expired = append(expired, sequence)
		}
	}
	slices.Sort(expired)
	return expired
}

// probeIndirectly asks indirectProbes other members to probe a member that did not answer.
func (p *Prober) probeIndirectly(sequence uint64, target *Member, now time.Time) []Send {
	p.pending[sequence] = pendingProbe{vm: target.sender.VM, deadline: now.Add(2 * ackTimeout), indirect: true}
	helpers := slices.DeleteFunc(p.Live(), func(m Member) bool { return m.sender.VM == target.sender.VM })
	p.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var sends []Send
	for _, helper := range helpers[:min(indirectProbes, len(helpers))] {
		request := peer.ProbeRequest{Sequence: sequence, Target: target.sender}
		sends = append(sends, Send{Address: helper.sender.Address, Message: request})
	}
	return sends
}

func (p *Prober) markSuspect(m *Member, now time.Time) {
	if m.state != peer.MemberAlive {
		return
	}
	m.state = peer.MemberSuspect
	m.stateUntil = now.Add(suspectTimeout)
	p.enqueueRumour(peer.Rumour{Member: m.sender, State: peer.MemberSuspect})
}

func (p *Prober) expireMembers(now time.Time) {
	for vm, m := range p.members {
		switch {
		case m.state == peer.MemberSuspect && !now.Before(m.stateUntil):
			p.markDead(m, now)
		case m.state == peer.MemberDead && !now.Before(m.stateUntil):
			if !m.listed {
				delete(p.members, vm)
				continue
			}
			// It is still listed by the platform, so a VM that was partitioned may be
			// reachable again.
			m.state = peer.MemberSuspect
			m.stateUntil = now.Add(suspectTimeout)
			p.changed = true
		}
	}
}

func (p *Prober) markDead(m *Member, now time.Time) {
	m.state = peer.MemberDead
	m.stateUntil = now.Add(forgetTimeout)
	p.changed = true
	p.enqueueRumour(peer.Rumour{Member: m.sender, State: peer.MemberDead})
}

// Receive handles a message from a VM of this failure domain and returns the messages to
// send. A message of another kind only shows that its sender is alive.
func (p *Prober) Receive(from peer.Sender, message peer.Message, now time.Time) []Send {
	before := p.recordContact(from)
	switch m := message.(type) {
	case peer.Probe:
		p.applyRumours(m.Rumours, now)
		ack := peer.ProbeAck{Sequence: m.Sequence, Rumours: p.takeRumours(), ConfigVersion: p.configVersion}
		if before != peer.MemberAlive {
			// Others may still hold this state; only the VM itself can refute it to them.
			ack.Rumours = append(ack.Rumours, peer.Rumour{Member: from, State: before})
		}
		return []Send{{Address: from.Address, Message: ack}}
	case peer.ProbeAck:
		p.applyRumours(m.Rumours, now)
		return p.handleAck(m)
	case peer.ProbeRequest:
		return p.probeOnBehalf(from, m, now)
	default:
		return nil
	}
}

// recordContact records that a process is alive, which overrides a suspicion of the same
// or an older process. It returns the state that the process had before, or MemberAlive
// for a process older or newer than the known one, as no state of it needs refuting.
func (p *Prober) recordContact(from peer.Sender) peer.MemberState {
	m, found := p.members[from.VM]
	if !found {
		m = &Member{sender: from, state: peer.MemberAlive}
		p.members[from.VM] = m
		p.changed = true
	}
	if from.Incarnation < m.sender.Incarnation {
		return peer.MemberAlive
	}
	before := m.state
	newer := from.Incarnation > m.sender.Incarnation
	// Listed VMs start with an unknown process; learning it is not worth a rumour.
	restarted := newer && m.sender.Incarnation > 0
	p.changed = p.changed || newer || before == peer.MemberDead
	m.sender, m.state = from, peer.MemberAlive
	if restarted {
		p.enqueueRumour(peer.Rumour{Member: from, State: peer.MemberAlive})
	}
	if newer {
		return peer.MemberAlive
	}
	return before
}

func (p *Prober) handleAck(ack peer.ProbeAck) []Send {
	pending, found := p.pending[ack.Sequence]
	if !found {
		return nil
	}
	delete(p.pending, ack.Sequence)
	if pending.relayTo == "" {
		return nil
	}
	relayed := peer.ProbeAck{Sequence: pending.relaySequence, ConfigVersion: p.configVersion}
	return []Send{{Address: pending.relayTo, Message: relayed}}
}

func (p *Prober) probeOnBehalf(from peer.Sender, request peer.ProbeRequest, now time.Time) []Send {
	target := &Member{sender: request.Target, state: peer.MemberAlive}
	pending := pendingProbe{
		vm: request.Target.VM, deadline: now.Add(2 * ackTimeout), relayTo: from.Address, relaySequence: request.Sequence,
	}
	return []Send{p.probe(target, pending)}
}

// Self returns this VM's identity with its current incarnation.
func (p *Prober) Self() peer.Sender { return p.self }
