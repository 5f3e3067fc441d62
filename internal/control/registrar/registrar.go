// Package registrar maintains the list of upstreams from their entries in the store. It
// has no network and no clock of its own.
//
// Upstreams renew their entries in the store, so entries expire during an outage of the
// store although their upstreams are alive. An entry that goes missing around an outage is
// therefore kept until upstreams have had time to write it again.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// recoveryTime is how long upstreams may take to rewrite their entries after the store is
// back.
const recoveryTime = 2200 * time.Millisecond

// entry is the last known state of an upstream's entry in the store.
type entry struct {
	upstream placer.Upstream
	version  uint64
	// missingSince is when the entry was found missing; zero while it is present.
	missingSince time.Time
}

// Registrar maintains the list of upstreams.
type Registrar struct {
	entries map[string]*entry
	// removeMissingAt is the time from which missing entries are removed; zero until the
	// first outage, so that they are removed at once.
	removeMissingAt time.Time
	// outageBegan is when the store was first found not to answer in the last outage.
	outageBegan time.Time
}

// New returns a Registrar with an empty list.
func New() *Registrar { return &Registrar{entries: map[string]*entry{}} }

// RecordOutage records that the store did not answer, and so defers the removal of missing
// entries.
func (r *Registrar) RecordOutage(now time.Time) {
	if !now.Before(r.removeMissingAt) {
		r.outageBegan = now
	}
	r.removeMissingAt = now.Add(recoveryTime)
}

// Outage returns when the last outage began, and until when upstreams may need to write their entries after it, if the store
// has answered since; zero if there was none.
func (r *Registrar) Outage() (began, until time.Time) { return r.outageBegan, r.removeMissingAt }

// Update records an entry and reports whether it is new, changed, or was missing. An entry
// older than the known version is ignored.
func (r *Registrar) Update(u placer.Upstream, version uint64) bool {
	known, found := r.entries[u.ID]
	if found && known.version > version {
		return false
	}
	u.EntryVersion = version
	r.entries[u.ID] = &entry{upstream: u, version: version}
	return !found || known.version != version || !known.missingSince.IsZero()
}

// MarkMissing records that an entry is missing from the store.
func (r *Registrar) MarkMissing(id string, now time.Time) {
	if known, found := r.entries[id]; found && known.missingSince.IsZero() {
		known.missingSince = now
	}
}

// MarkMissingExcept records that all entries but the given ones are missing from the
// store.
func (r *Registrar) MarkMissingExcept(ids map[string]bool, now time.Time) {
	for id := range r.entries {
		if !ids[id] {
			r.MarkMissing(id, now)
		}
	}
}

// NextRemoval returns the time at which missing entries are removed from the list, or the
// zero time if none is missing or no outage was recorded.
func (r *Registrar) NextRemoval() time.Time {
	for _, known := range r.entries {
		if !known.missingSince.IsZero() {
			return r.removeMissingAt
		}
	}
	return time.Time{}
}

// Upstreams removes the missing entries whose time has come and returns the others, sorted
// by ID. Missing entries that may still be rewritten remain listed.
func (r *Registrar) Upstreams(now time.Time) []placer.Upstream {
	list := make([]placer.Upstream, 0, len(r.entries))
	for id, known := range r.entries {
		if !known.missingSince.IsZero() && !now.Before(r.removeMissingAt) {
			delete(r.entries, id)
			continue
		}
		list = append(list, known.upstream)
	}
	slices.SortFunc(list, func(a, b placer.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
