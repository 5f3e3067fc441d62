package watcher_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// heardAfter is when a watcher hears of a newer row: between two periodic reads and between two
	// calls for changes.
	heardAfter = 20300 * time.Millisecond
	longTable  = 1_000_000
)

// hear runs a watcher of a long table, which hears of a row of some version after heardAfter, for some time after that.
// It returns how often the watcher reads the whole table in that time.
func hear(t *testing.T, version uint64, run time.Duration, prepare func(s *countingStore)) (reads int, w *watcher.Watcher) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), heardAfter+run)
	defer cancel()
	s := newCountingStore(longTable)
	w = watcher.New(s, "t", "", &sink{}, slog.New(slog.DiscardHandler), withRate(), watcher.WithResume())
	time.AfterFunc(heardAfter, func() {
		qt.Check(t, w.NewestRow(), qt.Equals, uint64(3))
		prepare(s)
		w.HearOf(version, time.Now())
	})
	w.Run(ctx)
	return int(s.reads.Load()) - 1, w
}

// addRow adds a row to the table, of which no call for changes tells.
func addRow(s *countingStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.Rows = append(s.all.Rows, row("b", 5))
	s.all.Version = 5
}

// announceRow makes the next call for changes tell of a row.
func announceRow(s *countingStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
		return rowstore.Snapshot{Rows: []rowstore.Row{row("b", 5)}, Version: 5}, nil
	})
}

// Guards against: a VM whose feed withholds a new configuration keeps an old one until the
// long interval between two reads is over, although its peer VMs know the new one.
func TestTableIsReadAgainWhenPeerKnowsNewerRow(t *testing.T) {
	expect := func(t *testing.T, version uint64, prepare func(*countingStore), run time.Duration, least, most int, newest uint64) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			reads, w := hear(t, version, run, prepare)
			qt.Check(t, reads >= least && reads <= most, qt.IsTrue, qt.Commentf("%d reads", reads))
			qt.Check(t, w.NewestRow(), qt.Equals, newest)
		})
	}
	t.Run("withheld", func(t *testing.T) { expect(t, 5, addRow, 2500*time.Millisecond, 1, 1, 5) })
	t.Run("withheld, then known", func(t *testing.T) { expect(t, 5, addRow, 30*time.Second, 1, 1, 5) })
	t.Run("comes by itself", func(t *testing.T) { expect(t, 5, announceRow, 30*time.Second, 0, 0, 5) })
	t.Run("not newer", func(t *testing.T) { expect(t, 3, func(*countingStore) {}, 30*time.Second, 0, 0, 3) })
	t.Run("that no store has", func(t *testing.T) {
		expect(t, 99, func(*countingStore) {}, 4*time.Minute, 4, 9, 3)
	})
}
