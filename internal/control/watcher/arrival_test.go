package watcher_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// pieceInterval is the time between two pieces of a response of narrowStore.
const pieceInterval = 100 * time.Millisecond

// narrowStore is a store whose responses start at once and take a fixed time to arrive, in
// pieces. Its table never changes, but for one change if changeTakes is set.
type narrowStore struct {
	store
	takes       time.Duration // of a read
	changeTakes time.Duration // of the first call for changes
	stuckFrom   int32         // number of the first read whose response stops arriving; 0 for none
	silent      bool          // whether probes are not answered either once a response is stuck
	reads       atomic.Int32
	aborted     atomic.Int32  // calls whose context ended before the response was complete
	longest     time.Duration // time that an aborted call took, or stood still
}

// transfer returns once a response has arrived that takes some time.
func (s *narrowStore) transfer(ctx context.Context, takes time.Duration) error {
	began := time.Now()
	for rowstore.NotifyProgress(ctx); time.Since(began) < takes; rowstore.NotifyProgress(ctx) {
		select {
		case <-time.After(pieceInterval):
		case <-ctx.Done():
			return s.abort(began)
		}
	}
	return nil
}

func (s *narrowStore) abort(began time.Time) error {
	s.aborted.Add(1)
	s.longest = max(s.longest, time.Since(began))
	return fmt.Errorf("%w: %w", rowstore.ErrInDoubt, rowstore.ErrResponseIncomplete)
}

// Range implements rowstore.Store.
func (s *narrowStore) Range(ctx context.Context, _, _, from, _ string) (rowstore.Snapshot, string, error) {
	if from != "" { // a probe
		if s.silent {
			<-ctx.Done()
		}
		return rowstore.Snapshot{Version: 3}, "", ctx.Err()
	}
	read := s.reads.Add(1)
	if err := s.transfer(ctx, s.takes); err != nil {
		return rowstore.Snapshot{}, "", err
	}
	if s.stuckFrom > 0 && read >= s.stuckFrom {
		began := time.Now()
		<-ctx.Done()
		return rowstore.Snapshot{}, "", s.abort(began)
	}
	return rowstore.Snapshot{Version: 3}, "", nil
}

// Changes implements rowstore.Store.
func (s *narrowStore) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	takes := s.changeTakes
	if takes == 0 {
		return s.store.Changes(ctx, table, after, wait)
	}
	s.changeTakes = 0
	if err := s.transfer(ctx, takes); err != nil {
		return rowstore.Snapshot{}, err
	}
	return rowstore.Snapshot{Rows: []rowstore.Row{row("new", 4)}, Version: 4}, nil
}

// watch runs a watcher for some time and returns the events of its sink.
func watch(t *testing.T, s rowstore.Store, run time.Duration, options ...watcher.Option) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), run)
	defer cancel()
	to := &sink{}
	watcher.New(s, "t", "", to, slog.New(slog.DiscardHandler), options...).Run(ctx)
	return to.events
}

// failures returns how many events are failed calls.
func failures(events []string) int {
	count := 0
	for _, event := range events {
		if strings.HasPrefix(event, "lost ") {
			count++
		}
	}
	return count
}

// Guards against: an answer that takes seconds over a full link is aborted and requested
// anew, so that the link carries mostly bytes that are thrown away and stays full.
func TestAnswerThatKeepsArrivingIsNotAborted(t *testing.T) {
	for _, takes := range []time.Duration{2 * time.Second, 5 * time.Second, 12 * time.Second} {
		t.Run("rereads in "+takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &narrowStore{takes: takes}
				events := watch(t, s, 3*(takes+9*time.Second)+time.Second)
				qt.Check(t, failures(events), qt.Equals, 0)
				qt.Check(t, len(events) >= 3, qt.IsTrue, qt.Commentf("%q", events))
				qt.Check(t, s.aborted.Load() <= 1, qt.IsTrue, qt.Commentf("%d calls aborted", s.aborted.Load()))
			})
		})
		t.Run("changes in "+takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &narrowStore{changeTakes: takes}
				events := watch(t, s, takes+time.Second)
				qt.Check(t, events[:min(2, len(events))], qt.DeepEquals, []string{"replace ", "change new"})
			})
		})
	}
}

// Guards against: a call whose connection falls silent in the middle of the answer delays
// the next configuration until the bound of the whole call.
func TestAnswerThatStopsArrivingIsAbandoned(t *testing.T) {
	expect := func(t *testing.T, silent bool, limit time.Duration, options ...watcher.Option) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s := &narrowStore{takes: 300 * time.Millisecond, stuckFrom: 2, silent: silent}
			events := watch(t, s, 30*time.Second, options...)
			qt.Check(t, failures(events) >= 3, qt.IsTrue, qt.Commentf("%q", events))
			qt.Check(t, s.longest <= limit, qt.IsTrue, qt.Commentf("%s", s.longest))
		})
	}
	patient := watcher.WithTimeout(5 * time.Second)
	t.Run("short timeout", func(t *testing.T) { expect(t, false, 1500*time.Millisecond) })
	t.Run("long timeout, other calls are answered", func(t *testing.T) { expect(t, false, 1500*time.Millisecond, patient) })
	t.Run("long timeout, nothing is answered", func(t *testing.T) { expect(t, true, 5*time.Second, patient) })
}

// Guards against: a store that sends a byte now and then holds a call forever.
func TestAnswerThatNeverEndsIsAbandoned(t *testing.T) {
	expect := func(t *testing.T, s *narrowStore, limit time.Duration) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			events := watch(t, s, time.Minute)
			qt.Check(t, failures(events) >= 1, qt.IsTrue, qt.Commentf("%q", events))
			qt.Check(t, s.longest <= limit, qt.IsTrue, qt.Commentf("%s", s.longest))
		})
	}
	t.Run("first read", func(t *testing.T) { expect(t, &narrowStore{takes: time.Hour}, 16*time.Second) })
	t.Run("changes", func(t *testing.T) { expect(t, &narrowStore{changeTakes: time.Hour}, 19*time.Second) })
}
