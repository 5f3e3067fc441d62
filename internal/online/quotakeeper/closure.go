package quotakeeper

import "time"

// closedTime returns how long a team is closed at a time.
func (k *Keeper) closedTime(now time.Time) time.Duration {
	closed := 1
	for _, m := range k.meters {
		if now.Before(m.closedUntil) {
			closed++
		}
	}
	t := closureTime * time.Duration(len(k.peers.names)*closed)
	return min(max(t, closedTime), maxClosedTime)
}

// announce tells all VMs that a team is closed: those of this domain, and one of each other domain.
func (k *Keeper) announce(a *account, now time.Time) {
	wait := a.closedUntil.Sub(now)
	k.meter(a.team, now).close(wait, now)
	k.closeDomain(Closure{Team: a.team, Wait: wait}, "")
	for name := range k.peers.domains {
		if name != k.peers.self.Domain {
			a.unconfirmed[name] = &notice{}
		}
	}
	k.sendNotices(a, now)
}

// closeDomain tells the VMs of this VM's domain, but one, that a team is closed.
func (k *Keeper) closeDomain(c Closure, except string) {
	d := k.peers.domains[k.peers.self.Domain]
	if d == nil {
		return
	}
	for _, vm := range d.vms {
		if vm != except {
			m := k.post(vm)
			m.Closures = append(m.Closures, c)
		}
	}
}

// sendNotices tells a VM of each domain that has not confirmed it that a team is closed.
func (k *Keeper) sendNotices(a *account, now time.Time) {
	for name, n := range a.unconfirmed {
		d := k.peers.domains[name]
		if d == nil || !a.isClosed(now) {
			delete(a.unconfirmed, name)
			continue
		}
		if n.relay != "" {
			k.peers.update(n.relay, now)
			if v := k.peers.vms[n.relay]; v != nil && v.heardAt.After(n.sentAt) {
				delete(a.unconfirmed, name)
				continue
			}
			if now.Sub(n.sentAt) < resendTime {
				continue
			}
		}
		n.relay, n.sentAt = k.peers.relayOf(a.team, d), now
		if n.relay == "" {
			continue
		}
		message := k.ask(n.relay, now)
		message.Closures = append(message.Closures, Closure{Team: a.team, Wait: a.closedUntil.Sub(now), Relay: true})
	}
}

// receiveClosure closes a team, and tells the other VMs of the domain if needed.
func (k *Keeper) receiveClosure(from string, c Closure, now time.Time) {
	if _, limited := k.limits[c.Team]; limited {
		k.meter(c.Team, now).close(c.Wait, now)
	}
	if c.Relay {
		k.closeDomain(Closure{Team: c.Team, Wait: c.Wait}, from)
	}
}
