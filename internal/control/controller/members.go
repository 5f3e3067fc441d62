package controller

import (
	"math/rand/v2"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/memberprober"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/propagator"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
)

// members steps the membership of this VM's failure domain.
type members struct {
	c          *Controller
	prober     *memberprober.Prober
	neighbours map[string]bool // VMs that the list puts into this domain
	known      bool
}

func newMembers(c *Controller, random *rand.Rand) *members {
	self := peer.Sender{
		VM: c.Location.VM, Incarnation: peer.FirstIncarnation(c.Location.Process), Address: c.Location.Peer,
	}
	return &members{c: c, prober: memberprober.New(self, random), neighbours: map[string]bool{}}
}

// isNeighbour tells whether a VM is of this domain. Before the list was read
// nobody knows, and every authenticated peer may be.
func (m *members) isNeighbour(vm string) bool { return !m.known || m.neighbours[vm] }

func (m *members) live() []memberprober.Member { return m.prober.Live() }

// names returns the live VMs of the domain that stay, with this one.
func (m *members) names() []string {
	names := []string{m.c.Location.VM}
	for _, member := range m.prober.Live() {
		if !member.Leaving() {
			names = append(names, member.VM())
		}
	}
	return names
}

func (m *members) listRead(list []vmlister.VM) {
	m.known = true
	clear(m.neighbours)
	var listed []memberprober.ListEntry
	for _, vm := range list {
		if vm.Kind != vmlister.KindEntry || vm.Domain != m.c.Location.Domain {
			continue
		}
		m.neighbours[vm.ID] = true
		listed = append(listed, memberprober.ListEntry{VM: vm.ID, Address: vm.Peer, Leaving: vm.Leaving})
	}
	m.prober.SetList(listed)
}

func (m *members) tick(now time.Time) {
	m.send(m.prober.Tick(now))
	m.noticeChange(now)
}

func (m *members) receive(from peer.Sender, message peer.Message, now time.Time) {
	m.send(m.prober.Receive(from, message, now))
	m.noticeChange(now)
}

func (m *members) send(out []memberprober.Send) {
	for _, s := range out {
		m.c.sender.Send(s.Address, s.Message)
	}
}

func (m *members) noticeChange(now time.Time) {
	if !m.prober.Changed() {
		return
	}
	m.c.sender.SetSelf(m.prober.Self())
	var peers []propagator.Peer
	for _, member := range m.prober.Live() {
		peers = append(peers, propagator.Peer{VM: member.VM(), Address: member.Address()})
	}
	m.c.config.core.SetPeers(peers)
	m.c.upstreams.membersChanged(now)
	m.c.stale = true
	m.c.Counters.Count("membership_changes_total")
}
