package controller

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
)

// totals returns what a VM is told of the requests of all others on the upstream.
func (k *kept) totals(id, vm string) peer.UpstreamCount {
	return peer.UpstreamCount{
		Upstream: id, Online: k.room.OnlineExcept(vm), Batch: k.upstream.Gauge().Batch(), PromptBytes: k.promptsOf(vm),
	}
}

// promptsOf returns the bytes of the prompts of all VMs but one.
func (k *kept) promptsOf(vm string) int {
	return k.upstream.Gauge().PromptBytes() + k.othersPrompts(vm)
}

// othersPrompts returns the bytes of the prompts of all VMs but this one and
// another.
func (k *kept) othersPrompts(vm string) int {
	bytes := 0
	for other, n := range k.prompts {
		if other != vm {
			bytes += n
		}
	}
	return bytes
}

// setPrompts takes the bytes of the long prompts that another VM has there.
func (k *kept) setPrompts(vm string, bytes int) {
	if k.prompts[vm] == bytes {
		return
	}
	k.changed = true
	k.prompts[vm] = bytes
	if bytes == 0 {
		delete(k.prompts, vm)
	}
	k.upstream.Gauge().SetPeerPromptBytes(k.othersPrompts(""))
}

// onlineChanged takes changes of this VM's own online requests. Rising counts
// are told to the keeper at once, since batch work must yield to them. Falling
// ones can wait, unless requests of other VMs may be waiting for the place.
func (s *upstreams) onlineChanged(changed map[*chooser.Upstream]bool, now time.Time) {
	messages := map[string][]peer.UpstreamCount{}
	for u, rising := range changed {
		online := u.Gauge().Online()
		s.active[u.ID()] = true
		if k, found := s.kept[u.ID()]; found {
			k.setOnline(s.c.Location.VM, online, now)
			continue
		}
		if !rising && !s.isScarce(u.ID()) {
			s.falling[u.ID()] = u
			continue
		}
		delete(s.falling, u.ID())
		messages[u.Owner()] = append(messages[u.Owner()], ownCount(u))
	}
	s.sendCounts(messages)
}

// isScarce tells whether an upstream belongs to a target that is nearly full.
func (s *upstreams) isScarce(id string) bool {
	target := s.targets[id]
	return target != nil && s.scarce[target.Name()]
}

// ownCount returns what the keeper is told of this VM's requests.
func ownCount(u *chooser.Upstream) peer.UpstreamCount {
	return peer.UpstreamCount{Upstream: u.ID(), Online: u.Gauge().Online(), PromptBytes: u.Gauge().PromptBytes()}
}

func (s *upstreams) sendCounts(messages map[string][]peer.UpstreamCount) {
	for keeper, counts := range messages {
		if address := s.addresses[keeper]; address != "" {
			s.c.sender.Send(address, peer.OnlineCounts{Counts: counts})
		}
	}
}

// pushTotals tells the VMs of the domain, at once, how many online requests
// others have on upstreams whose total has changed. VMs that send to the same
// upstreams need this to leave the last sequences to each other. A budget keeps
// the messages of a VM bounded: beyond it, VMs hear of a change later.
func (s *upstreams) pushTotals(now time.Time) {
	changed := s.changedKept(now)
	if len(changed) == 0 {
		return
	}
	members := s.c.members.live()
	for range members {
		s.nextTold = (s.nextTold + 1) % len(members)
		m := members[s.nextTold]
		message := s.totalsFor(m.VM(), changed)
		if len(message.Totals) == 0 {
			continue
		}
		if !s.budget.AllowN(now, 1) {
			return
		}
		for _, others := range message.Totals {
			s.kept[others.Upstream].told[m.VM()] = others
		}
		s.c.sender.Send(m.Address(), message)
	}
	for _, id := range changed {
		s.kept[id].changed = false
	}
}

// changedKept returns the kept upstreams whose total has changed since all
// were told.
func (s *upstreams) changedKept(now time.Time) []string {
	var changed []string
	for _, id := range s.keptIDs() {
		k := s.kept[id]
		k.upstream.Gauge().SetPeerOnline(k.room.OnlineExcept(s.c.Location.VM), now)
		if prompts := k.upstream.Gauge().PromptBytes(); prompts != k.prompting {
			k.prompting = prompts
			k.changed = true
		}
		if k.changed {
			changed = append(changed, id)
		}
	}
	return changed
}

// totalsFor returns what a VM has not been told yet.
func (s *upstreams) totalsFor(vm string, ids []string) peer.OnlineTotals {
	var message peer.OnlineTotals
	for _, id := range ids {
		k := s.kept[id]
		if totals := k.totals(id, vm); k.told[vm] != totals {
			message.Totals = append(message.Totals, totals)
		}
	}
	return message
}

// countsReceived takes another VM's counts. A VM of another domain, which isn't
// told of every change, gets the totals in return.
func (s *upstreams) countsReceived(from peer.Sender, m peer.OnlineCounts, now time.Time) {
	var reply peer.OnlineTotals
	for _, count := range m.Counts {
		if k, found := s.kept[count.Upstream]; found {
			k.setOnline(from.VM, count.Online, now)
			k.setPrompts(from.VM, count.PromptBytes)
			reply.Totals = append(reply.Totals, k.totals(count.Upstream, from.VM))
		}
	}
	if len(reply.Totals) > 0 && !s.c.members.isNeighbour(from.VM) {
		s.c.sender.Send(from.Address, reply)
	}
}

// askFar asks the keepers of other domains for their totals while this domain's
// upstreams are nearly full, so that requests can go there if there is room.
func (s *upstreams) askFar(now time.Time) {
	messages := map[string][]peer.UpstreamCount{}
	clear(s.scarce)
	for target := range s.c.Publisher.View().Targets {
		if !nearlyFull(target, now) {
			continue
		}
		s.scarce[target.Name()] = true
		for u := range target.Pool().All {
			if u.Tier() != chooser.TierDomain {
				count := ownCount(u)
				messages[u.Owner()] = append(messages[u.Owner()], count)
			}
		}
	}
	s.sendCounts(messages)
}

// nearlyFull tells whether a target's upstreams in this domain have little room
// left, or requests wait for it.
func nearlyFull(target *publisher.Target, now time.Time) bool {
	free, all := 0, 0
	for _, u := range target.Pool().Tier(chooser.TierDomain) {
		free += target.Pool().AvailableSlots(u, now)
		all += u.Sequences()
	}
	return target.Lane().Queue().Waiting() > 0 || free*nearlyFullShare <= all
}

// setOnline takes the number of online requests that a VM has on the upstream.
func (k *kept) setOnline(vm string, n int, now time.Time) {
	before := k.room.TotalOnline()
	k.room.SetOnline(vm, n, now)
	k.changed = k.changed || k.room.TotalOnline() != before
}

func (s *upstreams) totalsReceived(m peer.OnlineTotals, now time.Time) {
	for _, others := range m.Totals {
		if u := s.byID[others.Upstream]; u != nil {
			u.Gauge().SetPeerOnline(others.Online, now)
			if u.Tier() != chooser.TierDomain {
				u.Gauge().SetCredits((u.Sequences() - u.Gauge().OnlineTotal()) / farShare)
			}
			u.Gauge().SetOwnerBatch(others.Batch)
			u.Gauge().SetPeerPromptBytes(others.PromptBytes)
		}
	}
}
