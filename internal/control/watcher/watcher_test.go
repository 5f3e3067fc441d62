package watcher_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// store answers Changes from a list of replies. After the last one it waits without
// reporting a change.
type store struct {
	rowstore.Store
	mu      sync.Mutex
	all     rowstore.Snapshot
	replies []func(after uint64) (rowstore.Snapshot, error)
}

func (s *store) Range(context.Context, string, string, string, string) (rowstore.Snapshot, string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all, "", nil
}

func (s *store) Changes(
	ctx context.Context, _ string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	s.mu.Lock()
	if len(s.replies) > 0 {
		reply := s.replies[0]
		s.replies = s.replies[1:]
		s.mu.Unlock()
		return reply(after)
	}
	s.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return rowstore.Snapshot{Version: after}, ctx.Err()
}

// sink records the calls of its methods.
type sink struct {
	mu     sync.Mutex
	events []string
}

func (s *sink) add(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

func (s *sink) Replace(rows []rowstore.Row) { s.add("replace " + names(rows)) }
func (s *sink) Change(rows []rowstore.Row)  { s.add("change " + names(rows)) }
func (s *sink) Failed(err error)            { s.add("lost " + err.Error()) }

func names(rows []rowstore.Row) string {
	text := ""
	for _, row := range rows {
		text += row.Name
	}
	return text
}

func row(name string, version uint64) rowstore.Row {
	return rowstore.Row{Key: rowstore.Key{Table: "t", Name: name}, Version: version}
}

// expectEvents runs a watcher for some time and compares the events of its sink.
func expectEvents(t *testing.T, s *store, run time.Duration, want ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), run)
		defer cancel()
		to := &sink{}
		watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler)).Run(ctx)
		qt.Check(t, to.events, qt.DeepEquals, want)
	})
}

func TestChangesFollowTheFirstRead(t *testing.T) {
	s := &store{all: rowstore.Snapshot{Rows: []rowstore.Row{row("a", 3)}, Version: 3}}
	s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
		return rowstore.Snapshot{Rows: []rowstore.Row{row("b", 4)}, Version: 4}, nil
	})
	expectEvents(t, s, 2*time.Second, "replace a", "change b")
}

func TestWithheldChangesAreRequestedAgain(t *testing.T) {
	s := &store{all: rowstore.Snapshot{Version: 3}}
	s.replies = append(s.replies,
		func(uint64) (rowstore.Snapshot, error) { return rowstore.Snapshot{Version: 9}, nil },
		func(after uint64) (rowstore.Snapshot, error) {
			if after >= 5 {
				return rowstore.Snapshot{Version: 9}, nil
			}
			return rowstore.Snapshot{Rows: []rowstore.Row{row("held", 5)}, Version: 9}, nil
		})
	expectEvents(t, s, 2*time.Second, "replace ", "change held")
}

func TestTableIsRereadAtOnceWhenHistoryIsGone(t *testing.T) {
	s := &store{all: rowstore.Snapshot{Rows: []rowstore.Row{row("a", 3)}, Version: 3}}
	s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
		return rowstore.Snapshot{}, rowstore.ErrHistoryGone
	})
	expectEvents(t, s, 500*time.Millisecond, "replace a", "replace a")
}

// While the store keeps no history, each call for changes fails at once. If all VMs then
// read whole tables in a loop, they would exhaust the store's rate limits and the link.
func TestStoreWithoutHistoryIsNotReadInALoop(t *testing.T) {
	s := &store{all: rowstore.Snapshot{Version: 3}}
	for range 1000 {
		s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
			return rowstore.Snapshot{}, rowstore.ErrHistoryGone
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		to := &sink{}
		watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler)).Run(ctx)
		qt.Check(t, len(to.events) >= 7 && len(to.events) <= 20, qt.IsTrue, qt.Commentf("%d reads", len(to.events)))
	})
}

func TestStalledFeedIsBoundedByPeriodicRereads(t *testing.T) {
	s := &store{all: rowstore.Snapshot{Version: 3}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		to := &sink{}
		watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler)).Run(ctx)
		qt.Check(t, len(to.events) >= 3, qt.IsTrue)
	})
}

func TestFailureIsReportedAndTableReread(t *testing.T) {
	s := &store{all: rowstore.Snapshot{Version: 3}}
	s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
		return rowstore.Snapshot{}, rowstore.ErrNotDone
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		to := &sink{}
		watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler)).Run(ctx)
		qt.Check(t, slices.Equal(to.events, []string{"replace ", "lost store call not done", "replace "}), qt.IsTrue)
	})
}

// A table in which some row changes all the time, such as the VM table of a large fleet,
// costs a bounded number of calls.
func TestChangesOfBusyTableAreReadTogether(t *testing.T) {
	s := &store{all: rowstore.Snapshot{Version: 3}}
	for n := range 1000 {
		s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
			return rowstore.Snapshot{Rows: []rowstore.Row{row("a", uint64(n+4))}, Version: uint64(n + 4)}, nil
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		to := &sink{}
		watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler), watcher.WithPause(time.Second)).Run(ctx)
		qt.Check(t, len(to.events) <= 8, qt.IsTrue, qt.Commentf("%d calls", len(to.events)))
	})
}

// All VMs of a remote region start at once and read a long configuration over a narrow
// link.
func TestLongTableIsReadOverNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s, to := &narrowStore{takes: 6 * time.Second}, &sink{}
		watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler)).Run(ctx)
		qt.Check(t, to.events, qt.Contains, "replace ")
		qt.Check(t, s.reads.Load() <= 5, qt.IsTrue, qt.Commentf("%d reads", s.reads.Load()))
	})
}

// outageAtStart is a store that never answers a call made before the outage ends, and
// answers later ones at once.
type outageAtStart struct {
	store
	back  time.Time
	reads atomic.Int32
}

// Range implements rowstore.Store.
func (s *outageAtStart) Range(ctx context.Context, _, _, _, _ string) (rowstore.Snapshot, string, error) {
	s.reads.Add(1)
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return rowstore.Snapshot{}, "", rowstore.ErrInDoubt
	}
	rowstore.NotifyProgress(ctx)
	return rowstore.Snapshot{Rows: []rowstore.Row{row("a", 3)}, Version: 3}, "", nil
}

// All VMs start during an outage of the store. Their first reads are lost, and the VMs
// must not wait for these once the store is back.
func TestFirstReadLostInOutageIsRetriedAlongside(t *testing.T) {
	for _, outage := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s, to := &outageAtStart{back: time.Now().Add(outage)}, &sink{}
			ctx, cancel := context.WithTimeout(t.Context(), outage+1600*time.Millisecond)
			defer cancel()
			watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler)).Run(ctx)
			qt.Check(t, to.events, qt.Contains, "replace a", qt.Commentf("outage of %s", outage))
			qt.Check(t, s.reads.Load() <= 10, qt.IsTrue, qt.Commentf("%d reads", s.reads.Load()))
		})
	}
}

// storeWithOutage is a store that never answers calls made during an outage, and has
// another row after it.
type storeWithOutage struct {
	store
	from, back time.Time
	calls      atomic.Int32
}

func (s *storeWithOutage) respond(ctx context.Context) error {
	s.calls.Add(1)
	if now := time.Now(); now.Before(s.from) || !now.Before(s.back) {
		rowstore.NotifyProgress(ctx)
		return nil
	}
	<-ctx.Done()
	return rowstore.ErrInDoubt
}

// Range implements rowstore.Store.
func (s *storeWithOutage) Range(ctx context.Context, _, _, from, _ string) (rowstore.Snapshot, string, error) {
	if err := s.respond(ctx); err != nil || from != "" {
		return rowstore.Snapshot{Version: 3}, "", err
	}
	if time.Now().Before(s.back) {
		return rowstore.Snapshot{Rows: []rowstore.Row{row("old", 3)}, Version: 3}, "", nil
	}
	return rowstore.Snapshot{Rows: []rowstore.Row{row("new", 9)}, Version: 9}, "", nil
}

// Changes implements rowstore.Store.
func (s *storeWithOutage) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	if err := s.respond(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return s.store.Changes(ctx, table, after, wait)
}

// In a large fleet a call may take many seconds, as its answer may arrive over a narrow
// link. A call that was lost in an outage must not be waited for that long, or a
// configuration that arrives right after the outage would be late.
func TestCallLostInOutageIsAbandonedSoonAfterItInLargeFleet(t *testing.T) {
	for _, outage := range []time.Duration{700 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			s, to := &storeWithOutage{from: began.Add(2 * time.Second), back: began.Add(2*time.Second + outage)}, &sink{}
			ctx, cancel := context.WithDeadline(t.Context(), s.back.Add(2500*time.Millisecond))
			defer cancel()
			watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler),
				watcher.WithTimeout(5*time.Second)).Run(ctx)
			qt.Check(t, to.events, qt.Contains, "replace new", qt.Commentf("outage of %s", outage))
			qt.Check(t, s.calls.Load() <= 40, qt.IsTrue, qt.Commentf("%d calls", s.calls.Load()))
		})
	}
}

// unresponsiveAfterFirst is a store that answers only the first read.
type unresponsiveAfterFirst struct {
	store
	reads int
	took  []time.Duration
}

// Range implements rowstore.Store.
func (s *unresponsiveAfterFirst) Range(ctx context.Context, _, _, _, _ string) (rowstore.Snapshot, string, error) {
	if s.reads++; s.reads == 1 {
		return rowstore.Snapshot{Version: 3}, "", nil
	}
	began := time.Now()
	<-ctx.Done()
	s.took = append(s.took, time.Since(began))
	return rowstore.Snapshot{}, "", rowstore.ErrInDoubt
}

// A read that hangs in an outage must not outlast it by much, as new configurations arrive
// right after it.
func TestUnansweredReadsAreAbandonedSoon(t *testing.T) {
	s := &unresponsiveAfterFirst{}
	s.replies = append(s.replies, func(uint64) (rowstore.Snapshot, error) {
		return rowstore.Snapshot{}, rowstore.ErrNotDone
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		watcher.New(s, "t", "", &sink{}, slog.New(slog.DiscardHandler)).Run(ctx)
		qt.Assert(t, len(s.took) > 3, qt.IsTrue)
		for _, took := range s.took {
			qt.Check(t, took <= 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		}
	})
}

// offeredCopy is a copy of a table from another VM, and whether the watcher is to accept
// it.
type offeredCopy struct {
	copy     watcher.Copy
	accepted bool
}

// expectOffers offers copies to a watcher that has no answer of the store, and compares
// the events of its sink.
func expectOffers(t *testing.T, copies []offeredCopy, want ...string) {
	t.Helper()
	to := &sink{}
	w := watcher.New(&store{}, "t", "", to, slog.New(slog.DiscardHandler))
	for n, o := range copies {
		qt.Check(t, w.Offer(o.copy, time.Now()), qt.Equals, o.accepted, qt.Commentf("offer %d", n))
	}
	qt.Check(t, to.events, qt.DeepEquals, want)
}

func copyOf(version uint64, rows ...rowstore.Row) watcher.Copy {
	c := watcher.Copy{Version: version, Age: time.Second}
	for _, row := range rows {
		c.Rows = append(c.Rows, watcher.CopiedRow{Name: row.Name, Version: row.Version})
	}
	return c
}

func TestPeerCopyIsAcceptedWhileStoreIsUnresponsive(t *testing.T) {
	expectOffers(t, []offeredCopy{{copy: copyOf(3, row("a", 2)), accepted: true}}, "replace a")
}

// A peer VM that was partitioned still has rows that were removed meanwhile.
func TestRemovedRowDoesNotComeBackFromLaggingPeer(t *testing.T) {
	expectOffers(t, []offeredCopy{
		{copy: copyOf(9, row("a", 2)), accepted: true},
		{copy: copyOf(7, row("a", 2), row("removed", 1))},
	}, "replace a")
}

func TestNewerCopyReplacesOlderOne(t *testing.T) {
	expectOffers(t, []offeredCopy{
		{copy: copyOf(7, row("a", 2), row("removed", 1)), accepted: true},
		{copy: copyOf(9, row("b", 8)), accepted: true},
	}, "replace aremoved", "replace b")
}

func TestNoCopyIsAcceptedOnceStoreHasAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		to := &sink{}
		s := &store{all: rowstore.Snapshot{Rows: []rowstore.Row{row("a", 3)}, Version: 3}}
		w := watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler))
		w.Run(ctx)
		qt.Check(t, w.Offer(copyOf(9, row("b", 8)), time.Now()), qt.IsFalse)
		known, found := w.Copy(time.Now())
		qt.Check(t, found, qt.IsTrue)
		qt.Check(t, known, qt.DeepEquals, watcher.Copy{
			Rows: []watcher.CopiedRow{{Name: "a", Version: 3}}, Version: 3, Age: known.Age,
		})
	})
}

// Guards against: a VM that lags behind, and on which a job waits for a newer configuration, learns of
// the wait only when the long interval between two reads of the whole table is over.
func TestTableIsReadAgainSoonOnceTheIntervalIsShorter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 4500*time.Millisecond)
		defer cancel()
		var interval atomic.Int64
		interval.Store(int64(time.Minute))
		time.AfterFunc(2500*time.Millisecond, func() { interval.Store(int64(time.Second)) })
		to := &sink{}
		s := &store{all: rowstore.Snapshot{Rows: []rowstore.Row{row("a", 3)}, Version: 3}}
		w := watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler),
			watcher.WithReread(func() time.Duration { return time.Duration(interval.Load()) }))
		w.Run(ctx)
		qt.Check(t, to.events, qt.DeepEquals, []string{"replace a", "replace a", "replace a"})
		qt.Check(t, w.Version(), qt.Equals, uint64(3))
	})
}
