// Package memberprober keeps which entry VMs of a failure domain live. It is a
// deterministic core: a function of its state, an event and the time, without
// clock, socket or random source of its own.
//
// Each VM probes one other VM a period, in a shuffled order, and asks two
// others to probe a VM that did not answer. What it learns travels as rumours
// on the probes themselves, so the cost for a VM doesn't grow with the fleet.
package memberprober

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

const (
	// ProbePeriod is the time between two probes of a VM.
	ProbePeriod    = 500 * time.Millisecond
	ackTimeout     = 250 * time.Millisecond
	suspectTimeout = 2 * time.Second
	forgetTimeout  = 30 * time.Second
	// pauseLimit is the time without a tick after which the VM takes itself
	// for having been paused, and doesn't blame others for what it missed.
	pauseLimit     = time.Second
	indirectProbes = 2
	maxRumours     = 6
	minTellings    = 3
)

// Member is one VM of the failure domain.
type Member struct {
	sender  peer.Sender
	state   peer.MemberState
	listed  bool
	leaving bool
	until   time.Time // end of suspicion, or of remembering a dead VM
}

// VM returns the member's identifier.
func (m Member) VM() string { return m.sender.VM }

// Address returns the member's peer address.
func (m Member) Address() string { return m.sender.Address }

// Incarnation returns the number of the member's process.
func (m Member) Incarnation() uint64 { return m.sender.Incarnation }

// State returns what this VM believes of the member.
func (m Member) State() peer.MemberState { return m.state }

// Leaving tells whether the platform lists the member as leaving.
func (m Member) Leaving() bool { return m.leaving }

// Send is the action to send a message to a peer address.
type Send struct {
	Address string
	Message peer.Message
}

// ListEntry is one line of the platform's list, for VMs of this domain.
type ListEntry struct {
	VM      string
	Address string
	Leaving bool
}

// Prober is the state of one VM.
type Prober struct {
	self          peer.Sender
	random        *rand.Rand
	members       map[string]*Member
	order         []string
	next          int
	sequence      uint64
	pending       map[uint64]pendingProbe
	rumours       []telling
	nextProbe     time.Time
	lastTick      time.Time
	configVersion uint64
	changed       bool
}

type pendingProbe struct {
	vm       string
	deadline time.Time
	indirect bool
	// relayTo is the VM on whose behalf this VM probes.
	relayTo  string
	relaySeq uint64
}

type telling struct {
	rumour peer.Rumour
	left   int
}

// New returns a prober that knows only itself.
func New(self peer.Sender, random *rand.Rand) *Prober {
	return &Prober{
		self: self, random: random, members: map[string]*Member{}, pending: map[uint64]pendingProbe{},
	}
}

// SetConfigVersion sets the version that travels on probes.
func (p *Prober) SetConfigVersion(version uint64) { p.configVersion = version }

// Changed tells whether the set of live members has changed since the last
// call.
func (p *Prober) Changed() bool {
	changed := p.changed
	p.changed = false
	return changed
}

// Live returns the other VMs that are alive or only suspected, by identifier.
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

// Dead tells whether a process of a VM is known to be gone.
func (p *Prober) Dead(vm string, process uint64) bool {
	m, found := p.members[vm]
	if !found {
		return false
	}
	current := m.sender.Process()
	return process < current || (process == current && m.state == peer.MemberDead)
}

// SetList takes the platform's list. A listed VM is alive until probes say
// otherwise; one that the list no longer has is probed until it is dead.
func (p *Prober) SetList(list []ListEntry) {
	listed := map[string]bool{}
	for _, line := range list {
		if line.VM == p.self.VM {
			continue
		}
		listed[line.VM] = true
		m, found := p.members[line.VM]
		if !found {
			m = &Member{sender: peer.Sender{VM: line.VM, Address: line.Address}, state: peer.MemberAlive}
			p.members[line.VM] = m
			p.changed = true
		}
		m.listed = true
		p.changed = p.changed || m.leaving != line.Leaving
		m.leaving = line.Leaving
	}
	for vm, m := range p.members {
		m.listed = listed[vm]
	}
}

// Tick advances time. It is called several times a ProbePeriod.
func (p *Prober) Tick(now time.Time) []Send {
	paused := !p.lastTick.IsZero() && now.Sub(p.lastTick) > pauseLimit
	p.lastTick = now
	if paused {
		p.forgive(now)
	}
	out := p.expireProbes(now)
	p.expireMembers(now)
	if now.Before(p.nextProbe) {
		return out
	}
	p.nextProbe = now.Add(ProbePeriod)
	target := p.nextTarget()
	if target == nil {
		return out
	}
	return append(out, p.probe(target, pendingProbe{vm: target.sender.VM, deadline: now.Add(ackTimeout)}))
}

// forgive drops the deadlines that passed while this VM was paused.
func (p *Prober) forgive(now time.Time) {
	clear(p.pending)
	for _, m := range p.members {
		if m.state == peer.MemberSuspect {
			m.until = now.Add(suspectTimeout)
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

// nextTarget returns the next member of a shuffled round, so that every member
// is probed within one round.
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
	var out []Send
	for _, sequence := range p.expired(now) {
		pending := p.pending[sequence]
		delete(p.pending, sequence)
		m := p.members[pending.vm]
		if pending.relayTo != "" || m == nil || m.state == peer.MemberDead {
			continue
		}
		if pending.indirect {
			p.suspect(m, now)
			continue
		}
		out = append(out, p.askOthers(sequence, m, now)...)
	}
	return out
}

func (p *Prober) expired(now time.Time) []uint64 {
	var expired []uint64
	for sequence, pending := range p.pending {
		if !now.Before(pending.deadline) {
			expired = append(expired, sequence)
		}
	}
	slices.Sort(expired)
	return expired
}

// askOthers asks a few members to probe one that did not answer.
func (p *Prober) askOthers(sequence uint64, target *Member, now time.Time) []Send {
	p.pending[sequence] = pendingProbe{vm: target.sender.VM, deadline: now.Add(2 * ackTimeout), indirect: true}
	helpers := slices.DeleteFunc(p.Live(), func(m Member) bool { return m.sender.VM == target.sender.VM })
	p.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var out []Send
	for _, helper := range helpers[:min(indirectProbes, len(helpers))] {
		request := peer.ProbeRequest{Sequence: sequence, Target: target.sender}
		out = append(out, Send{Address: helper.sender.Address, Message: request})
	}
	return out
}

func (p *Prober) suspect(m *Member, now time.Time) {
	if m.state != peer.MemberAlive {
		return
	}
	m.state = peer.MemberSuspect
	m.until = now.Add(suspectTimeout)
	p.tell(peer.Rumour{Member: m.sender, State: peer.MemberSuspect})
}

func (p *Prober) expireMembers(now time.Time) {
	for vm, m := range p.members {
		switch {
		case m.state == peer.MemberSuspect && !now.Before(m.until):
			p.bury(m, now)
		case m.state == peer.MemberDead && !now.Before(m.until):
			if !m.listed {
				delete(p.members, vm)
				continue
			}
			// The platform still lists it: a VM that was cut off may be back.
			m.state = peer.MemberSuspect
			m.until = now.Add(suspectTimeout)
			p.changed = true
		}
	}
}

func (p *Prober) bury(m *Member, now time.Time) {
	m.state = peer.MemberDead
	m.until = now.Add(forgetTimeout)
	p.changed = true
	p.tell(peer.Rumour{Member: m.sender, State: peer.MemberDead})
}

// tell starts a rumour; a newer one of the same member replaces an older one.
func (p *Prober) tell(r peer.Rumour) {
	p.rumours = slices.DeleteFunc(p.rumours, func(t telling) bool { return t.rumour.Member.VM == r.Member.VM })
	tellings := minTellings
	for n := len(p.members); n > 1; n /= 2 {
		tellings++
	}
	p.rumours = append(p.rumours, telling{rumour: r, left: tellings})
}

// takeRumours returns the rumours for the next message: the worst news first,
// as others act on them, and the least told of those.
func (p *Prober) takeRumours() []peer.Rumour {
	slices.SortStableFunc(p.rumours, func(a, b telling) int {
		return cmp.Or(cmp.Compare(b.rumour.State, a.rumour.State), cmp.Compare(b.left, a.left))
	})
	n := min(maxRumours, len(p.rumours))
	out := make([]peer.Rumour, 0, n)
	for i := range n {
		out = append(out, p.rumours[i].rumour)
		p.rumours[i].left--
	}
	p.rumours = slices.DeleteFunc(p.rumours, func(t telling) bool { return t.left <= 0 })
	return out
}

// Receive takes a message from a VM of this domain. Messages of other kinds are
// only a sign of life.
func (p *Prober) Receive(from peer.Sender, message peer.Message, now time.Time) []Send {
	before := p.heard(from)
	switch m := message.(type) {
	case peer.Probe:
		p.believeAll(m.Rumours, now)
		ack := peer.ProbeAck{Sequence: m.Sequence, Rumours: p.takeRumours(), ConfigVersion: p.configVersion}
		if before != peer.MemberAlive {
			// Others still believe it; only the VM itself can refute it to them.
			ack.Rumours = append(ack.Rumours, peer.Rumour{Member: from, State: before})
		}
		return []Send{{Address: from.Address, Message: ack}}
	case peer.ProbeAck:
		p.believeAll(m.Rumours, now)
		return p.acknowledged(m)
	case peer.ProbeRequest:
		return p.probeFor(from, m, now)
	default:
		return nil
	}
}

// heard notes a sign of life, which outweighs any suspicion of the same or an
// older process. It returns what was believed of the process before.
func (p *Prober) heard(from peer.Sender) peer.MemberState {
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
	// The list has VMs without their process; learning it is no news to others.
	restarted := newer && m.sender.Incarnation > 0
	p.changed = p.changed || newer || before == peer.MemberDead
	m.sender, m.state = from, peer.MemberAlive
	if restarted {
		p.tell(peer.Rumour{Member: from, State: peer.MemberAlive})
	}
	if newer {
		return peer.MemberAlive
	}
	return before
}

func (p *Prober) acknowledged(ack peer.ProbeAck) []Send {
	pending, found := p.pending[ack.Sequence]
	if !found {
		return nil
	}
	delete(p.pending, ack.Sequence)
	if pending.relayTo == "" {
		return nil
	}
	relayed := peer.ProbeAck{Sequence: pending.relaySeq, ConfigVersion: p.configVersion}
	return []Send{{Address: pending.relayTo, Message: relayed}}
}

func (p *Prober) probeFor(from peer.Sender, request peer.ProbeRequest, now time.Time) []Send {
	target := &Member{sender: request.Target, state: peer.MemberAlive}
	pending := pendingProbe{
		vm: request.Target.VM, deadline: now.Add(2 * ackTimeout), relayTo: from.Address, relaySeq: request.Sequence,
	}
	return []Send{p.probe(target, pending)}
}

func (p *Prober) believeAll(rumours []peer.Rumour, now time.Time) {
	for _, r := range rumours {
		p.believe(r, now)
	}
}

// believe takes a rumour. A rumour of an older process, or a weaker one of the
// same process, changes nothing. A suspicion of this VM itself is answered with
// a higher incarnation.
func (p *Prober) believe(r peer.Rumour, now time.Time) {
	if r.Member.VM == p.self.VM {
		p.refute(r)
		return
	}
	m, found := p.members[r.Member.VM]
	if !found {
		if r.State == peer.MemberDead {
			return
		}
		m = &Member{sender: r.Member, state: peer.MemberAlive}
		p.members[r.Member.VM] = m
		p.changed = true
	}
	newer := r.Member.Incarnation > m.sender.Incarnation
	same := r.Member.Incarnation == m.sender.Incarnation
	if !newer && (!same || r.State <= m.state) {
		return
	}
	was := m.state
	unknown := m.sender.Incarnation == 0
	m.sender = r.Member
	m.state = r.State
	p.changed = p.changed || newer || (was == peer.MemberDead) != (r.State == peer.MemberDead)
	switch r.State {
	case peer.MemberSuspect:
		m.until = now.Add(suspectTimeout)
	case peer.MemberDead:
		m.until = now.Add(forgetTimeout)
	case peer.MemberAlive:
		if unknown {
			return // learning a listed VM's process is no news to others
		}
	}
	p.tell(r)
}

func (p *Prober) refute(r peer.Rumour) {
	if r.State == peer.MemberAlive || r.Member.Incarnation < p.self.Incarnation {
		return
	}
	p.self.Incarnation = r.Member.Incarnation + 1
	p.tell(peer.Rumour{Member: p.self, State: peer.MemberAlive})
}

// Self returns this VM as others should know it.
func (p *Prober) Self() peer.Sender { return p.self }
