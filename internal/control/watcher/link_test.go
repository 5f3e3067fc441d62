package watcher_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	linkRate = 7_500_000 // bytes per second
	linkVMs  = 34
	// answerBytes are those of an answer besides its rows.
	answerBytes = 200
)

// link carries the answers of a store, one piece after another in the order in which they are
// sent.
type link struct {
	rate    int           // bytes per second
	window  int           // bytes of an answer that are sent at a time
	free    chan struct{} // has an element while nothing is being carried
	carried atomic.Int64  // bytes
	wasted  atomic.Int64  // bytes of answers that were aborted
}

// carry carries an answer, unless its caller leaves before.
func (l *link) carry(ctx context.Context, bytes int) error {
	for sent := 0; sent < bytes; {
		piece := min(l.window, bytes-sent)
		select {
		case <-l.free:
		case <-ctx.Done():
			l.wasted.Add(int64(sent))
			return fmt.Errorf("%w: %w", rowstore.ErrInDoubt, ctx.Err())
		}
		time.Sleep(time.Duration(piece) * time.Second / time.Duration(l.rate))
		l.free <- struct{}{}
		l.carried.Add(int64(piece))
		sent += piece
		rowstore.NotifyProgress(ctx)
	}
	return nil
}

// farStore is a store with a configuration in one row, at the other end of a link.
type farStore struct {
	rowstore.Store
	link *link

	mu      sync.Mutex
	row     rowstore.Row
	changed chan struct{} // closed at the next change
}

// set replaces the configuration by one of some bytes.
func (s *farStore) set(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row = rowstore.Row{Key: rowstore.Key{Table: "t", Name: "a"}, Value: make([]byte, bytes), Version: s.row.Version + 1}
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *farStore) get() (rowstore.Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rowstore.Snapshot{Rows: []rowstore.Row{s.row}, Version: s.row.Version}, s.changed
}

// Range implements rowstore.Store.
func (s *farStore) Range(ctx context.Context, _, _, from, _ string) (rowstore.Snapshot, string, error) {
	all, _ := s.get()
	if from > all.Rows[0].Name {
		return rowstore.Snapshot{Version: all.Version}, "", s.link.carry(ctx, answerBytes)
	}
	return all, "", s.link.carry(ctx, answerBytes+len(all.Rows[0].Value))
}

// Changes implements rowstore.Store.
func (s *farStore) Changes(
	ctx context.Context, _ string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	all, changed := s.get()
	if all.Version <= after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		all, _ = s.get()
	}
	if all.Version <= after {
		return rowstore.Snapshot{Version: after}, s.link.carry(ctx, answerBytes)
	}
	return all, s.link.carry(ctx, answerBytes+len(all.Rows[0].Value))
}

// newFarStore returns a store behind a free link, with a configuration of some bytes.
func newFarStore(bytes int) *farStore {
	far := &farStore{link: &link{rate: linkRate, window: 16 << 10, free: make(chan struct{}, 1)}}
	far.link.free <- struct{}{}
	far.set(bytes)
	return far
}

// follow starts the watchers of the VMs of a region. They run until the context ends.
func (s *farStore) follow(ctx context.Context, group *sync.WaitGroup, vms int) []*watcher.Watcher {
	watchers := make([]*watcher.Watcher, vms)
	for n := range watchers {
		watchers[n] = watcher.New(s, "t", "", &sink{}, slog.New(slog.DiscardHandler), withRate(), watcher.WithResume(),
			watcher.WithTimeout(5*time.Second))
		group.Go(func() { watchers[n].Run(ctx) })
	}
	return watchers
}

// expectKnown checks that all watchers know a version of the configuration.
func expectKnown(t *testing.T, watchers []*watcher.Watcher, version uint64) {
	t.Helper()
	for n, w := range watchers {
		qt.Check(t, w.NewestRow(), qt.Equals, version, qt.Commentf("VM %d", n))
	}
}

// Guards against: once the configuration is long, the VMs of a region without the store keep the
// link to it full of answers that they abort and request anew, until nothing else can be read.
func TestVMsBehindOneLinkLeaveItFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 145*time.Second)
		defer cancel()
		far := newFarStore(100_000)
		for at, bytes := range map[time.Duration]int{
			8 * time.Second: 400_000, 36 * time.Second: 700_000, 64 * time.Second: 1_000_000, 92 * time.Second: 1_000_000,
		} {
			time.AfterFunc(at, func() { far.set(bytes) })
		}
		var group sync.WaitGroup
		watchers := far.follow(ctx, &group, linkVMs)
		time.Sleep(100 * time.Second)
		expectKnown(t, watchers, 5)
		before := far.link.carried.Load()
		group.Wait()
		later := far.link.carried.Load() - before
		qt.Check(t, later < 45*linkRate/5, qt.IsTrue, qt.Commentf("%d bytes carried after the last change", later))
		qt.Check(t, far.link.wasted.Load() < linkRate, qt.IsTrue, qt.Commentf("%d bytes wasted", far.link.wasted.Load()))
		t.Logf("%d bytes carried after the last change, %d wasted", later, far.link.wasted.Load())
	})
}

// Guards against: VMs that start together read a long configuration several times each, as the
// first read of each takes long while all of them read.
func TestVMsThatStartBehindOneLinkReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		const bytes = 1_000_000
		far := newFarStore(bytes)
		var group sync.WaitGroup
		watchers := far.follow(ctx, &group, linkVMs)
		group.Wait()
		expectKnown(t, watchers, 1)
		carried := far.link.carried.Load()
		qt.Check(t, carried < linkVMs*bytes*11/10, qt.IsTrue, qt.Commentf("%d bytes carried", carried))
		t.Logf("%d bytes carried, %d wasted", carried, far.link.wasted.Load())
	})
}

// Guards against: an answer that waits at a full link behind those to other VMs is abandoned before it
// begins, so that what the link carries of it is wasted and it waits again.
func TestAnswerThatWaitsAtFullLinkIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 95*time.Second)
		defer cancel()
		const bytes, vms = 400_000, 10
		far := newFarStore(1000)
		far.link.rate, far.link.window = 850_000, 128<<10
		var group sync.WaitGroup
		watchers := far.follow(ctx, &group, vms)
		for n := range 5 {
			time.Sleep(6700 * time.Millisecond)
			far.set(bytes)
			time.Sleep(11 * time.Second)
			expectKnown(t, watchers, uint64(n+2))
		}
		qt.Check(t, far.link.wasted.Load(), qt.Equals, int64(0))
		t.Logf("%d bytes carried", far.link.carried.Load())
		cancel()
		group.Wait()
	})
}
