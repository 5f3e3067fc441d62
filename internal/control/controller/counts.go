package controller

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
)

// totalsExcept returns the load that all VMs but one have on the upstream, as reported
// to that VM.
func (o *ownedUpstream) totalsExcept(id, vm string) peer.UpstreamCount {
	return peer.UpstreamCount{
		Upstream: id, Online: o.limiter.OnlineExcept(vm), Batch: o.upstream.Gauge().Batch(),
		PromptBytes: o.promptBytesExcept(vm),
	}
}

// promptBytesExcept returns the bytes of the long prompts of all VMs but one peer.
func (o *ownedUpstream) promptBytesExcept(vm string) int {
	return o.upstream.Gauge().PromptBytes() + o.peerPromptBytesExcept(vm)
}

// peerPromptBytesExcept returns the bytes of the long prompts of all peer VMs but one.
func (o *ownedUpstream) peerPromptBytesExcept(vm string) int {
	bytes := 0
	for other, n := range o.peerPromptBytes {
		if other != vm {
			bytes += n
		}
	}
	return bytes
}

// setPeerPromptBytes sets the bytes of the long prompts that a peer VM has on the
// upstream.
func (o *ownedUpstream) setPeerPromptBytes(vm string, bytes int) {
	if o.peerPromptBytes[vm] == bytes {
		return
	}
	o.changed = true
	o.peerPromptBytes[vm] = bytes
	if bytes == 0 {
		delete(o.peerPromptBytes, vm)
	}
	o.upstream.Gauge().SetPeerPromptBytes(o.peerPromptBytesExcept(""))
}

// onlineChanged handles changes of this VM's own online requests. It reports increases
// to the owner at once, since batch work must yield to them. Decreases are reported at
// the next flush, unless the target is nearly full, so that requests on other VMs may be
// waiting for the slot.
func (s *upstreams) onlineChanged(changed map[*chooser.Upstream]bool, now time.Time) {
	messages := map[string][]peer.UpstreamCount{}
	for u, rising := range changed {
		online := u.Gauge().Online()
		s.active[u.ID()] = true
		if o, found := s.owned[u.ID()]; found {
			o.setOnline(s.c.Location.VM, online, now)
			continue
		}
		if !rising && !s.isNearlyFull(u.ID()) {
			s.decreased[u.ID()] = u
			continue
		}
		delete(s.decreased, u.ID())
		messages[u.Owner()] = append(messages[u.Owner()], localCount(u))
	}
	s.sendCounts(messages)
}

// isNearlyFull reports whether an upstream belongs to a target that is nearly full.
func (s *upstreams) isNearlyFull(id string) bool {
	target := s.targetOf[id]
	return target != nil && s.nearlyFull[target.Name()]
}

// localCount returns the load of this VM's own requests, as reported to the owner.
func localCount(u *chooser.Upstream) peer.UpstreamCount {
	return peer.UpstreamCount{Upstream: u.ID(), Online: u.Gauge().Online(), PromptBytes: u.Gauge().PromptBytes()}
}

func (s *upstreams) sendCounts(messages map[string][]peer.UpstreamCount) {
	for owner, counts := range messages {
		if address := s.addresses[owner]; address != "" {
			s.c.sender.Send(address, peer.OnlineCounts{Counts: counts})
		}
	}
}

// pushTotals sends the VMs of the failure domain the load of other VMs on owned
// upstreams whose total has changed. VMs that share upstreams need it to avoid taking
// the last free sequences at the same time. totalsBudget limits the messages; once it is
// used up, the remaining VMs get the change after a later event.
func (s *upstreams) pushTotals(now time.Time) {
	changed := s.changedOwned(now)
	if len(changed) == 0 {
		return
	}
	members := s.c.members.live()
	for range members {
		s.nextRecipient = (s.nextRecipient + 1) % len(members)
		m := members[s.nextRecipient]
		message := s.unsentTotals(m.VM(), changed)
		if len(message.Totals) == 0 {
			continue
		}
		if !s.totalsBudget.AllowN(now, 1) {
			return
		}
		for _, totals := range message.Totals {
			s.owned[totals.Upstream].sent[m.VM()] = totals
		}
		s.c.sender.Send(m.Address(), message)
	}
	for _, id := range changed {
		s.owned[id].changed = false
	}
}

// changedOwned returns the owned upstreams whose total has changed since all VMs of the
// domain got it. It also updates their gauges with the online requests of peer VMs.
func (s *upstreams) changedOwned(now time.Time) []string {
	var changed []string
	for _, id := range s.ownedIDs() {
		o := s.owned[id]
		o.upstream.Gauge().SetPeerOnline(o.limiter.OnlineExcept(s.c.Location.VM), now)
		if bytes := o.upstream.Gauge().PromptBytes(); bytes != o.sentPromptBytes {
			o.sentPromptBytes = bytes
			o.changed = true
		}
		if o.changed {
			changed = append(changed, id)
		}
	}
	return changed
}

// unsentTotals returns the totals that differ from those last sent to a VM.
func (s *upstreams) unsentTotals(vm string, ids []string) peer.OnlineTotals {
	var message peer.OnlineTotals
	for _, id := range ids {
		o := s.owned[id]
		if totals := o.totalsExcept(id, vm); o.sent[vm] != totals {
			message.Totals = append(message.Totals, totals)
		}
	}
	return message
}

// receiveCounts records the counts of a peer VM. It replies with the totals to a VM of
// another failure domain, which pushTotals doesn't reach.
func (s *upstreams) receiveCounts(from peer.Sender, m peer.OnlineCounts, now time.Time) {
	var reply peer.OnlineTotals
	for _, count := range m.Counts {
		if o, found := s.owned[count.Upstream]; found {
			o.setOnline(from.VM, count.Online, now)
			o.setPeerPromptBytes(from.VM, count.PromptBytes)
			reply.Totals = append(reply.Totals, o.totalsExcept(count.Upstream, from.VM))
		}
	}
	if len(reply.Totals) > 0 && !s.c.members.inDomain(from.VM) {
		s.c.sender.Send(from.Address, reply)
	}
}

// queryRemoteOwners queries the owners in other failure domains for their totals while
// this domain's upstreams are nearly full, so that requests can overflow to upstreams
// there that have free sequences.
func (s *upstreams) queryRemoteOwners(now time.Time) {
	messages := map[string][]peer.UpstreamCount{}
	clear(s.nearlyFull)
	for target := range s.c.Publisher.View().Targets {
		if !targetNearlyFull(target, now) {
			continue
		}
		s.nearlyFull[target.Name()] = true
		for u := range target.Pool().All {
			if u.Tier() != chooser.TierDomain {
				count := localCount(u)
				messages[u.Owner()] = append(messages[u.Owner()], count)
			}
		}
	}
	s.sendCounts(messages)
}

// targetNearlyFull reports whether a target's upstreams in this failure domain have few
// free sequences, or requests are waiting for it.
func targetNearlyFull(target *publisher.Target, now time.Time) bool {
	free, total := 0, 0
	for _, u := range target.Pool().Tier(chooser.TierDomain) {
		free += target.Pool().AvailableSlots(u, now)
		total += u.Sequences()
	}
	return target.Lane().Queue().Waiting() > 0 || free*nearlyFullDivisor <= total
}

// setOnline sets the number of online requests that a VM has on the upstream.
func (o *ownedUpstream) setOnline(vm string, n int, now time.Time) {
	before := o.limiter.TotalOnline()
	o.limiter.SetOnline(vm, n, now)
	o.changed = o.changed || o.limiter.TotalOnline() != before
}

func (s *upstreams) receiveTotals(m peer.OnlineTotals, now time.Time) {
	for _, totals := range m.Totals {
		if u := s.byID[totals.Upstream]; u != nil {
			u.Gauge().SetPeerOnline(totals.Online, now)
			if u.Tier() != chooser.TierDomain {
				u.Gauge().SetCredits((u.Sequences() - u.Gauge().OnlineTotal()) / creditsDivisor)
			}
			u.Gauge().SetOwnerBatch(totals.Batch)
			u.Gauge().SetPeerPromptBytes(totals.PromptBytes)
		}
	}
}
