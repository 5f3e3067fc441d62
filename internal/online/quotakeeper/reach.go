package quotakeeper

import "time"

// noticePause gives all VMs more time to answer if this VM itself stood still: their answers may have come. After a
// long time, what it knew and what has arrived meanwhile is outdated; other VMs have taken over.
func (k *Keeper) noticePause(now time.Time) {
	late := now.Sub(k.stepDueAt)
	if k.stepDueAt.IsZero() || late <= maxStepDelay {
		return
	}
	k.stepDueAt = now
	k.peers.extendAnswerTimes(late, now)
	if late > maxHeldTime {
		k.peers.extendAnswerTimes(domainAnswerTime, now) // it ignores the answers that have come
		k.ignoreUntil = now.Add(ignoreTime)
		clear(k.accounts)
		clear(k.watched)
	}
}

// askSilent asks a silent VM that is needed, from time to time.
func (k *Keeper) askSilent(vm string, now time.Time) {
	if now.Sub(k.peers.vms[vm].sentAt) >= silentAskInterval {
		k.ask(vm, now)
	}
}

// checkWatched checks which domains can be reached while tokens may be used up, and repeats notices.
func (k *Keeper) checkWatched(now time.Time) {
	for team, a := range k.watched {
		k.updateAccount(a, now)
		for _, vm := range a.silent {
			k.askSilent(vm, now)
		}
		if k.sendNotices(a, now); !a.isWatched(now) || now.Sub(a.usedAt) > activeTime {
			delete(k.watched, team)
		}
	}
	if len(k.watched) > 0 {
		k.askDomains(k.freshTime(), now)
	}
}

// freshTime returns how recently domains must have been heard from, so that little is admitted before one that
// is cut off is noticed.
func (k *Keeper) freshTime() time.Duration {
	fastest := 0.0
	for _, a := range k.watched {
		fastest = max(fastest, a.bucket.perSecond())
	}
	seconds := maxUnnoticed / fastest
	return time.Duration(min(max(seconds, minFreshTime.Seconds()), maxFreshTime.Seconds()) * float64(time.Second))
}

// askDomains asks a VM of each domain that has not been heard from lately.
func (k *Keeper) askDomains(fresh time.Duration, now time.Time) {
	for _, vm := range k.peers.askDomains(fresh, now) {
		k.ask(vm, now)
	}
}
