package watcher

import (
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// feedGrace is how long a row that a peer VM knows may take to come through this VM's own feed
// before the feed is taken for one that withholds changes.
const feedGrace = time.Second

// hearsay compares the newest row that a VM knows with those of which it has heard.
type hearsay struct {
	mu     sync.Mutex
	newest uint64    // version of the newest known row
	heard  uint64    // highest version heard of
	since  time.Time // when a version above newest was first heard of
}

// know records the known rows.
func (h *hearsay) know(rows []rowstore.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range rows {
		h.newest = max(h.newest, row.Version)
	}
}

// hear records that a row of some version exists.
func (h *hearsay) hear(version uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heard <= h.newest && version > h.newest {
		h.since = now
	}
	h.heard = max(h.heard, version)
}

// isBehind returns whether a row heard of has not become known within feedGrace.
func (h *hearsay) isBehind(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard > h.newest && now.Sub(h.since) >= feedGrace
}

// BehindSince returns since when a row has been heard of that isn't known; zero if there is none.
func (w *Watcher) BehindSince() time.Time {
	w.hearsay.mu.Lock()
	defer w.hearsay.mu.Unlock()
	if w.hearsay.heard <= w.hearsay.newest {
		return time.Time{}
	}
	return w.hearsay.since
}

// NewestRow returns the version of the newest row that has been known; 0 while there is none.
func (w *Watcher) NewestRow() uint64 {
	w.hearsay.mu.Lock()
	defer w.hearsay.mu.Unlock()
	return w.hearsay.newest
}

// HearOf records the NewestRow of another VM's watcher of the table. If the row doesn't come
// through this watcher's feed soon, the whole table is read again.
func (w *Watcher) HearOf(newestRow uint64, now time.Time) { w.hearsay.hear(newestRow, now) }

// KnowsOfNewer returns whether newer content of the table is known to exist: by HearOf, or by the function of
// WithNewer.
func (w *Watcher) KnowsOfNewer() bool { return w.rereads.newerExists() }
