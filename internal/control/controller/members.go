package controller

import (
	"math/rand/v2"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/memberprober"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/propagator"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
)

// members tracks the membership of this VM's failure domain.
type members struct {
	c         *Controller
	prober    *memberprober.Prober
	domainVMs map[string]bool // IDs of the entry VMs of this failure domain on the VM list
	listKnown bool
}

func newMembers(c *Controller, random *rand.Rand) *members {
	self := peer.Sender{
		VM: c.Location.VM, Incarnation: peer.FirstIncarnation(c.Location.Process), Address: c.Location.Peer,
	}
	return &members{c: c, prober: memberprober.New(self, random), domainVMs: map[string]bool{}}
}

// inDomain reports whether a VM belongs to this failure domain. Until the VM list is
// known, every authenticated peer counts as a member.
func (m *members) inDomain(vm string) bool { return !m.listKnown || m.domainVMs[vm] }

func (m *members) live() []memberprober.Member { return m.prober.Live() }

// activeNames returns this VM and the live VMs of the failure domain that are not
// draining.
func (m *members) activeNames() []string {
	names := []string{m.c.Location.VM}
	for _, member := range m.prober.Live() {
		if !member.Leaving() {
			names = append(names, member.VM())
		}
	}
	return names
}

func (m *members) setList(list []vmlister.VM) {
	m.listKnown = true
	clear(m.domainVMs)
	var listed []memberprober.ListEntry
	for _, vm := range list {
		if vm.Kind != vmlister.KindEntry || vm.Domain != m.c.Location.Domain {
			continue
		}
		m.domainVMs[vm.ID] = true
		listed = append(listed, memberprober.ListEntry{VM: vm.ID, Address: vm.Peer, Leaving: vm.Leaving})
	}
	m.prober.SetList(listed)
}

func (m *members) tick(now time.Time) {
	m.send(m.prober.Tick(now))
	m.publishChange(now)
}

func (m *members) receive(from peer.Sender, message peer.Message, now time.Time) {
	m.send(m.prober.Receive(from, message, now))
	m.publishChange(now)
}

func (m *members) send(sends []memberprober.Send) {
	for _, s := range sends {
		m.c.sender.Send(s.Address, s.Message)
	}
}

func (m *members) publishChange(now time.Time) {
	if !m.prober.Changed() {
		return
	}
	m.c.sender.SetSelf(m.prober.Self())
	var peers []propagator.Peer
	for _, member := range m.prober.Live() {
		peers = append(peers, propagator.Peer{VM: member.VM(), Address: member.Address()})
	}
	m.c.config.core.SetPeers(peers)
	m.c.upstreams.updateMembers(now)
	m.c.viewStale = true
	m.c.Counters.Count("membership_changes_total")
}
