// Package linkkeeper keeps what this VM knows of its own links to upstreams. It performs no I/O
// and has no clock of its own.
//
// A dial that fails shows nothing by itself: the upstream may have ended, or the link is lost.
// What tells them apart is the word of a peer VM that reached the same upstream in the same
// moment. So a link counts as lost only on such a word, and each link by itself: a VM may be
// cut off from all upstreams, from one failure domain or from one upstream.
package linkkeeper

import (
	"slices"
	"sync"
	"time"
)

const (
	// evidenceTime is the time within which a failed dial and a peer VM's success count as
	// simultaneous.
	evidenceTime = 2 * time.Second
	// minFailedDials is the number of upstreams that must fail for the VM to be cut off
	// although no peer VM has confirmed it.
	minFailedDials = 3
	// minSilentLinks is the number of links that must become silent before all are taken for silent.
	minSilentLinks = 2
	// unreachableTime is how long requests don't try an upstream that neither this VM nor a peer
	// VM has reached. Checks without a request extend it.
	unreachableTime = 2 * time.Second
	// wantedTime is how long after the last request for it an unreachable upstream is checked.
	wantedTime = 3 * time.Second
)

// Way is how an upstream is to be reached.
type Way uint8

// The ways.
const (
	// WayDirect is this VM's own link, which is believed to work.
	WayDirect Way = iota
	// WayEither is this VM's own link or a peer VM, since some other links are lost.
	WayEither
	// WayPeer is a peer VM, since this VM's own link is lost.
	WayPeer
	// WayNone means that there was no way a moment ago.
	WayNone
)

// link is the state of the link to one upstream.
type link struct {
	lostAt           time.Time // zero: not known to be lost
	failedAt         time.Time // the last failed dial since the last success; zero for none
	refused          bool      // whether that one was refused rather than unanswered
	peerSucceededAt  time.Time
	unreachableUntil time.Time // zero: reached, or not tried
	wantedAt         time.Time // the last request for it
}

// Keeper keeps the state of all links of this VM, by the upstream's address.
type Keeper struct {
	mu          sync.Mutex
	links       map[string]*link
	succeededAt time.Time // the last dial that succeeded, to any upstream
}

// New returns a Keeper that knows of no fault.
func New() *Keeper { return &Keeper{links: map[string]*link{}} }

// Retain discards the state of all links except those to the given addresses.
func (k *Keeper) Retain(addresses map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for address := range k.links {
		if _, listed := addresses[address]; !listed {
			delete(k.links, address)
		}
	}
}

// Way returns how an address is to be reached.
func (k *Keeper) Way(address string, now time.Time) Way {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, found := k.links[address]
	if found {
		known.wantedAt = now
	}
	switch {
	case found && now.Before(known.unreachableUntil):
		return WayNone
	case found && !known.lostAt.IsZero():
		return WayPeer
	case k.isCutOff(now):
		return WayEither
	default:
		return WayDirect
	}
}

// IsLost returns whether the link to an address is known to be lost.
func (k *Keeper) IsLost(address string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, found := k.links[address]
	return found && !known.lostAt.IsZero()
}

// RecordSuccess records that this VM has connected to an address by its own link. It returns
// whether the link had been lost.
func (k *Keeper) RecordSuccess(address string, now time.Time) (restored bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.succeededAt = now
	known, found := k.links[address]
	delete(k.links, address)
	return found && !known.lostAt.IsZero()
}

// RecordFailure records that this VM has failed to connect to an address by its own link,
// refused or without an answer. It returns whether the link is now known to be lost and was not
// before.
func (k *Keeper) RecordFailure(address string, refused bool, now time.Time) (lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.link(address)
	known.failedAt, known.refused = now, refused
	return known.updateLost(now)
}

// IsSilent returns whether the last dial to an address by this VM's own link was unanswered, so
// that open connections to it are likely to be dead.
func (k *Keeper) IsSilent(address string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, found := k.links[address]
	return found && !known.failedAt.IsZero() && !known.refused
}

// RecordUpstreamDown records that peer VMs with working links don't reach an upstream either, so
// that the failure of this VM shows nothing about its link.
func (k *Keeper) RecordUpstreamDown(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, found := k.links[address]; found {
		known.failedAt = time.Time{}
	}
}

// RecordPeerSuccess records that a peer VM has connected to an address. It returns whether the
// link of this VM is now known to be lost and was not before.
func (k *Keeper) RecordPeerSuccess(address string, now time.Time) (lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.link(address)
	known.peerSucceededAt, known.unreachableUntil = now, time.Time{}
	return known.updateLost(now)
}

// RecordUnreachable records that neither this VM nor a peer VM has connected to an address.
func (k *Keeper) RecordUnreachable(address string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.link(address)
	if known.unreachableUntil.IsZero() {
		known.wantedAt = now
	}
	known.unreachableUntil = now.Add(unreachableTime)
}

// link returns the state of a link. The caller must hold mu.
func (k *Keeper) link(address string) *link {
	known, found := k.links[address]
	if !found {
		known = &link{}
		k.links[address] = known
	}
	return known
}

// updateLost marks the link as lost if this VM has failed to connect while a peer VM has
// connected, and returns whether it was not before.
func (l *link) updateLost(now time.Time) bool {
	if !l.lostAt.IsZero() || !within(l.failedAt, now) || !within(l.peerSucceededAt, now) {
		return false
	}
	l.lostAt = now
	return true
}

// within returns whether a time is less than evidenceTime ago.
func within(t, now time.Time) bool { return !t.IsZero() && now.Sub(t) < evidenceTime }

// IsCutOff returns whether this VM itself, rather than the upstreams, is likely to be at fault:
// no dial has succeeded since links were lost, or since dials to several upstreams failed.
func (k *Keeper) IsCutOff(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isCutOff(now)
}

// isCutOff is IsCutOff. The caller must hold mu.
func (k *Keeper) isCutOff(now time.Time) bool {
	failed := 0
	for _, known := range k.links {
		if known.lostAt.After(k.succeededAt) {
			return true
		}
		if within(known.failedAt, now) && known.failedAt.After(k.succeededAt) {
			failed++
		}
	}
	return failed >= minFailedDials
}

// IsSilentlyCutOff returns whether several links have become silent since the last dial that
// succeeded, to any upstream.
func (k *Keeper) IsSilentlyCutOff() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	silent := 0
	for _, known := range k.links {
		if !known.refused && known.lostAt.After(k.succeededAt) {
			silent++
		}
	}
	return silent >= minSilentLinks
}

// Checks lists the addresses to be checked without a request, sorted.
type Checks struct {
	// Lost are reached through peer VMs; only this VM's own link is to be checked.
	Lost []string
	// Unreachable are those to be checked by all ways.
	Unreachable []string
}

// Due returns the addresses to be checked. It forgets those that were unreachable and that no
// request has asked for since.
func (k *Keeper) Due(now time.Time) Checks {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due Checks
	for address, known := range k.links {
		switch {
		case !known.unreachableUntil.IsZero() && now.Sub(known.wantedAt) < wantedTime:
			due.Unreachable = append(due.Unreachable, address)
		case !known.lostAt.IsZero():
			due.Lost = append(due.Lost, address)
		case !within(known.failedAt, now) && !within(known.peerSucceededAt, now):
			delete(k.links, address)
		}
	}
	slices.Sort(due.Lost)
	slices.Sort(due.Unreachable)
	return due
}

// SucceededSince returns whether a dial by this VM's own links, to any upstream, has succeeded
// since a time.
func (k *Keeper) SucceededSince(since time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.succeededAt.After(since)
}
