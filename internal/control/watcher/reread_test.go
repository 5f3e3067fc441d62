package watcher_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// countingStore counts the reads of a table with one row.
type countingStore struct {
	store
	reads atomic.Int32
}

// newCountingStore returns a store whose row has a value of some bytes.
func newCountingStore(bytes int) *countingStore {
	a := row("a", 3)
	a.Value = make([]byte, bytes)
	return &countingStore{store: store{all: rowstore.Snapshot{Rows: []rowstore.Row{a}, Version: 3}}}
}

// Range implements rowstore.Store.
func (s *countingStore) Range(ctx context.Context, table, part, from, to string) (rowstore.Snapshot, string, error) {
	s.reads.Add(1)
	return s.store.Range(ctx, table, part, from, to)
}

// expectReads runs a watcher for five minutes and checks how often it reads the whole table.
func expectReads(t *testing.T, bytes, least, most int, options ...watcher.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		s := newCountingStore(bytes)
		watcher.New(s, "t", "", &sink{}, slog.New(slog.DiscardHandler), options...).Run(ctx)
		reads := int(s.reads.Load())
		qt.Check(t, reads >= least && reads <= most, qt.IsTrue, qt.Commentf("%d reads", reads))
	})
}

// withRate allows a VM 10 kB/s, as one of 50 VMs has.
func withRate() watcher.Option { return watcher.WithRereadRate(func() int { return 10_000 }) }

// Guards against: the periodic reads of a long table by all VMs fill the link between two
// regions although nothing changes.
func TestLongTableIsReadAgainLessOften(t *testing.T) {
	t.Run("short", func(t *testing.T) { expectReads(t, 50_000, 32, 38, withRate()) })
	t.Run("longer", func(t *testing.T) { expectReads(t, 200_000, 13, 16, withRate()) })
	t.Run("as long as a configuration gets", func(t *testing.T) { expectReads(t, 1_000_000, 5, 6, withRate()) })
}

// Guards against: VMs on which jobs wait for a configuration that the store doesn't have yet
// read a long one every 2 s, and fill the link.
func TestAwaitedTableIsReadAgainSoonButNotInALoop(t *testing.T) {
	awaited := watcher.WithNewer(func() bool { return true })
	t.Run("short", func(t *testing.T) { expectReads(t, 10_000, 95, 151, awaited, withRate()) })
	t.Run("long", func(t *testing.T) { expectReads(t, 1_000_000, 8, 10, awaited, withRate()) })
}

// Guards against: a VM with a long table that lacks newer content learns of it only when the
// long interval is over.
func TestLongTableIsReadAgainSoonOnceNewerContentIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var newer atomic.Bool
		s := newCountingStore(1_000_000)
		time.AfterFunc(20*time.Second, func() {
			qt.Check(t, s.reads.Load(), qt.Equals, int32(1))
			newer.Store(true)
		})
		time.AfterFunc(21100*time.Millisecond, func() {
			qt.Check(t, s.reads.Load(), qt.Equals, int32(2))
			newer.Store(false)
		})
		watcher.New(s, "t", "", &sink{}, slog.New(slog.DiscardHandler), withRate(), watcher.WithNewer(newer.Load)).Run(ctx)
		qt.Check(t, s.reads.Load(), qt.Equals, int32(2))
	})
}

// expectAfterFailure makes calls for changes fail and checks the events until after the next change.
func expectAfterFailure(t *testing.T, bytes int, failure error, want ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		s, to := newCountingStore(bytes), &sink{}
		fail := func(uint64) (rowstore.Snapshot, error) { return rowstore.Snapshot{}, failure }
		s.replies = append(s.replies, fail, fail, func(after uint64) (rowstore.Snapshot, error) {
			qt.Check(t, after, qt.Equals, uint64(3))
			return rowstore.Snapshot{Rows: []rowstore.Row{row("b", 5)}, Version: 5}, nil
		})
		watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler), withRate(), watcher.WithResume()).Run(ctx)
		qt.Check(t, to.events, qt.DeepEquals, want)
	})
}

// Guards against: a call for changes that fails as the link is full makes the VM read a long
// table again, which keeps the link full.
func TestFeedOfLongTableGoesOnAfterFailure(t *testing.T) {
	t.Run("long", func(t *testing.T) {
		expectAfterFailure(t, 1_000_000, rowstore.ErrInDoubt,
			"replace a", "lost store call in doubt", "lost store call in doubt", "change b")
	})
	t.Run("short", func(t *testing.T) {
		expectAfterFailure(t, 1000, rowstore.ErrInDoubt, "replace a", "lost store call in doubt",
			"replace a", "lost store call in doubt", "replace a", "change b")
	})
	t.Run("history gone", func(t *testing.T) {
		expectAfterFailure(t, 1_000_000, rowstore.ErrHistoryGone, "replace a", "replace a", "replace a", "change b")
	})
}

// silentFeed is a store that never answers calls for changes.
type silentFeed struct {
	*countingStore
	took []time.Duration // by the calls for changes
}

// Changes implements rowstore.Store.
func (s *silentFeed) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (rowstore.Snapshot, error) {
	began := time.Now()
	<-ctx.Done()
	s.took = append(s.took, time.Since(began))
	return rowstore.Snapshot{}, rowstore.ErrInDoubt
}

// Guards against: a call that resumes the feed in an outage outlasts it by the time that the
// store would have held the call, so that a configuration right after the outage is late.
func TestCallsThatResumeFeedInOutageAreAbandonedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		s := &silentFeed{countingStore: newCountingStore(1_000_000)}
		watcher.New(s, "t", "", &sink{}, slog.New(slog.DiscardHandler), withRate(), watcher.WithResume()).Run(ctx)
		qt.Check(t, s.reads.Load(), qt.Equals, int32(1))
		qt.Assert(t, len(s.took) > 5, qt.IsTrue, qt.Commentf("%d calls", len(s.took)))
		for _, took := range s.took[1:] {
			qt.Check(t, took <= 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		}
	})
}

// Guards against: a sink that has panicked in a change never gets that change.
func TestTableIsReadAgainAfterPanicOfSink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		s, to := newCountingStore(1_000_000), &panickingSink{}
		s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
			return rowstore.Snapshot{Rows: []rowstore.Row{row("b", 5)}, Version: 5}, nil
		})
		w := watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler), withRate(), watcher.WithResume())
		qt.Check(t, func() { w.Run(ctx) }, qt.PanicMatches, "bad change")
		w.Run(ctx)
		qt.Check(t, to.events, qt.DeepEquals, []string{"replace a", "replace a"})
	})
}

// panickingSink panics in Change.
type panickingSink struct{ sink }

// Change implements watcher.Sink.
func (s *panickingSink) Change([]rowstore.Row) { panic(errors.New("bad change")) }
