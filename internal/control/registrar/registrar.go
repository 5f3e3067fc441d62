// Package registrar keeps the list of upstreams that the store tells of. It has
// no network and no clock of its own.
//
// Upstreams renew their entries in the store, so entries lapse while the store
// is away although the upstreams live. An entry that goes missing around an
// outage is therefore kept until upstreams have had time to write it again.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// returnTime is how long upstreams may take to write their entries again after
// the store has come back.
const returnTime = 2200 * time.Millisecond

// entry is what is known of one upstream.
type entry struct {
	upstream placer.Upstream
	version  uint64
	// missing is when the entry was found to be gone; zero while it is there.
	missing time.Time
}

// Registrar keeps the list.
type Registrar struct {
	entries map[string]*entry
	// trusted is when missing entries are taken to be gone.
	trusted time.Time
}

// New returns a registrar of an empty list.
func New() *Registrar { return &Registrar{entries: map[string]*entry{}} }

// RecordOutage notes that the store didn't answer.
func (r *Registrar) RecordOutage(now time.Time) { r.trusted = now.Add(returnTime) }

// Update takes in one entry and tells whether it is news. An older version than
// the one that is known changes nothing.
func (r *Registrar) Update(u placer.Upstream, version uint64) bool {
	known, found := r.entries[u.ID]
	if found && known.version > version {
		return false
	}
	r.entries[u.ID] = &entry{upstream: u, version: version}
	return !found || known.version != version || !known.missing.IsZero()
}

// MarkMissing notes that an entry is no longer there.
func (r *Registrar) MarkMissing(id string, now time.Time) {
	if known, found := r.entries[id]; found && known.missing.IsZero() {
		known.missing = now
	}
}

// MarkMissingExcept notes that there are no entries but these.
func (r *Registrar) MarkMissingExcept(ids map[string]bool, now time.Time) {
	for id := range r.entries {
		if !ids[id] {
			r.MarkMissing(id, now)
		}
	}
}

// NextRemoval returns when the list changes by itself, because missing entries are
// then taken to be gone; zero if it doesn't.
func (r *Registrar) NextRemoval() time.Time {
	for _, known := range r.entries {
		if !known.missing.IsZero() {
			return r.trusted
		}
	}
	return time.Time{}
}

// Upstreams returns the list in the order of identifiers, without the entries
// that are gone. Those that are missing and may come back are still on it.
func (r *Registrar) Upstreams(now time.Time) []placer.Upstream {
	list := make([]placer.Upstream, 0, len(r.entries))
	for id, known := range r.entries {
		if !known.missing.IsZero() && !now.Before(r.trusted) {
			delete(r.entries, id)
			continue
		}
		list = append(list, known.upstream)
	}
	slices.SortFunc(list, func(a, b placer.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
