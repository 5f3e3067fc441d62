package placer

import (
	"slices"
	"time"
)

const (
	// unconfirmedVersion is the software version of what an upstream writes whose version is in doubt. No
	// upstream has it, so nothing that begins there goes on at another one.
	unconfirmedVersion = "unconfirmed"
	// doubtMargin is how long before an outage of the store was noticed a break of a connection counts as one during it:
	// the time in which a process that starts again writes its entry, and in which a VM notices a silent store.
	doubtMargin = 5 * time.Second
)

// storeOutage is a time in which upstreams can't write their entries, with the time that they need afterwards.
type storeOutage struct{ began, until time.Time }

// RecordStoreOutage records that the store has not answered since a time, and until when upstreams may need to write their
// entries if it answers from now on.
func (p *Placer) RecordStoreOutage(began, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeOutage = storeOutage{began: began, until: until}
}

// isVersionInDoubt returns whether another process may serve at the upstream than the one that its entry
// describes. A process that has ended and started again can't say during an outage of the store that it has another
// software version:
//
//	entry says v1, store away, connection refused, v1.1 starts at the same address, connection accepted
//
// So a connection that breaks off or is refused in an outage casts doubt on the version until the entry is written again or the
// outage is over. The caller must hold mu.
func (p *Placer) isVersionInDoubt(u *upstream, now time.Time) bool {
	return now.Before(p.storeOutage.until) && u.lastBreakAt.After(p.storeOutage.began.Add(-doubtMargin))
}

// hasVersion returns whether the software of an upstream is surely of one of some versions; an empty
// list stands for any. The caller must hold mu.
func (p *Placer) hasVersion(u *upstream, versions []string, now time.Time) bool {
	return len(versions) == 0 || (slices.Contains(versions, u.Version) && !p.isVersionInDoubt(u, now))
}

// describe returns an upstream as it is told to whoever gets a slot there. The caller must hold mu.
func (p *Placer) describe(u *upstream, now time.Time) Upstream {
	described := u.Upstream
	if p.isVersionInDoubt(u, now) {
		described.Version = unconfirmedVersion
	}
	return described
}

// AcceptsVersion returns whether an upstream of a service with a software version accepts
// work, whether or not it has a slot for it now, or its version is in doubt.
func (p *Placer) AcceptsVersion(service, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.byService[service], func(u *upstream) bool {
		return u.Version == version && u.acceptsWork()
	})
}
