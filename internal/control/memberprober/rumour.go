package memberprober

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

type queuedRumour struct {
	rumour            peer.Rumour
	transmissionsLeft int
}

// enqueueRumour queues a rumour for dissemination. It replaces an older one about the same
// member.
func (p *Prober) enqueueRumour(r peer.Rumour) {
	p.rumours = slices.DeleteFunc(p.rumours, func(t queuedRumour) bool { return t.rumour.Member.VM == r.Member.VM })
	transmissions := minTransmissions
	for n := len(p.members); n > 1; n /= 2 {
		transmissions++
	}
	p.rumours = append(p.rumours, queuedRumour{rumour: r, transmissionsLeft: transmissions})
}

// takeRumours returns the rumours for the next message: dead members first, then suspects,
// as receivers act on these; among equals those with the most transmissions left.
func (p *Prober) takeRumours() []peer.Rumour {
	slices.SortStableFunc(p.rumours, func(a, b queuedRumour) int {
		return cmp.Or(cmp.Compare(b.rumour.State, a.rumour.State), cmp.Compare(b.transmissionsLeft, a.transmissionsLeft))
	})
	n := min(maxRumoursPerMessage, len(p.rumours))
	taken := make([]peer.Rumour, 0, n)
	for i := range n {
		taken = append(taken, p.rumours[i].rumour)
		p.rumours[i].transmissionsLeft--
	}
	p.rumours = slices.DeleteFunc(p.rumours, func(t queuedRumour) bool { return t.transmissionsLeft <= 0 })
	return taken
}

func (p *Prober) applyRumours(rumours []peer.Rumour, now time.Time) {
	for _, r := range rumours {
		p.applyRumour(r, now)
	}
}

// applyRumour updates a member from a rumour. A rumour about an older incarnation, or a
// weaker one about the same incarnation, is ignored. A rumour that this VM is suspect or dead is
// refuted with a higher incarnation.
func (p *Prober) applyRumour(r peer.Rumour, now time.Time) {
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
	before := m.state
	unknown := m.sender.Incarnation == 0
	m.sender = r.Member
	m.state = r.State
	p.changed = p.changed || newer || (before == peer.MemberDead) != (r.State == peer.MemberDead)
	switch r.State {
	case peer.MemberSuspect:
		m.stateUntil = now.Add(suspectTimeout)
	case peer.MemberDead:
		m.stateUntil = now.Add(forgetTimeout)
	case peer.MemberAlive:
		if unknown {
			return // the process of a listed VM has become known, which is not worth a rumour
		}
	}
	p.enqueueRumour(r)
}

func (p *Prober) refute(r peer.Rumour) {
	if r.State == peer.MemberAlive || r.Member.Incarnation < p.self.Incarnation {
		return
	}
	p.self.Incarnation = r.Member.Incarnation + 1
	p.enqueueRumour(peer.Rumour{Member: p.self, State: peer.MemberAlive})
}
