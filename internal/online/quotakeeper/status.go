package quotakeeper

import "time"

// Status is what a VM knows of quotas.
type Status struct {
	// Kept is the number of teams of which the VM is the keeper, and Closed of those whose requests it rejects.
	Kept   int
	Closed int
	// Uncounted is the number of requests that no keeper has counted yet.
	Uncounted int
	// Share is the part of the quotas that the VMs which this one reaches may use.
	Share float64
}

// Status returns what this VM knows of quotas.
func (k *Keeper) Status(now time.Time) Status {
	s := Status{Kept: len(k.accounts), Share: k.peers.share()}
	for _, m := range k.meters {
		if now.Before(m.closedUntil) {
			s.Closed++
		}
		s.Uncounted += int(m.pending())
	}
	return s
}
