package watcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// firstPause is the longest time until a first read that has not begun to be
	// answered is made again beside it. It doubles with each read, up to
	// maxFirstPause.
	firstPause    = 400 * time.Millisecond
	maxFirstPause = 1500 * time.Millisecond
	// unbegunTime is how long a read may take to begin to be answered. Within it a
	// few reads at most wait beside each other.
	unbegunTime = 6 * time.Second
	// begunTime is how long an answer that has begun to come is waited for before
	// another read is made beside it: its connection may have gone silent.
	begunTime = 4 * time.Second
)

// firstRead reads the whole table for the first time of a process.
//
// A process may start while the store is silent, and then its read is never
// answered, also after the store is back. It may as well start together with all
// others behind a narrow link, and then its read takes seconds and must not be
// given up. One timeout can't serve both. So while a read has not begun to be
// answered, another is made beside it, and whichever is answered first counts.
type firstRead struct {
	watcher  *Watcher
	group    sync.WaitGroup
	outcomes chan outcome
	begun    chan struct{}
	underWay int
}

// outcome is how one read ended.
type outcome struct {
	all rowstore.Snapshot
	err error
}

// readFirst returns the first answer. It returns an error if the store turns a read
// away while no other is under way, or after maxReadTime.
func (w *Watcher) readFirst(ctx context.Context) (rowstore.Snapshot, error) {
	f := &firstRead{watcher: w, outcomes: make(chan outcome), begun: make(chan struct{})}
	defer f.group.Wait()
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	pause := firstPause
	f.start(ctx)
	timer := time.NewTimer(spread(pause))
	defer timer.Stop()
	for {
		select {
		case o := <-f.outcomes:
			f.underWay--
			if o.err == nil || f.underWay == 0 {
				return o.all, o.err
			}
		case <-ctx.Done():
			return rowstore.Snapshot{}, fmt.Errorf("%w: first read: %w", rowstore.ErrInDoubt, ctx.Err())
		case <-f.begun:
			timer.Reset(begunTime)
		case <-timer.C:
			f.start(ctx)
			pause = min(2*pause, maxFirstPause)
			timer.Reset(spread(pause))
		}
	}
}

// spread returns a random time a little below a bound, so that the VMs that start
// together don't ask together.
func spread(most time.Duration) time.Duration { return most*7/8 + rand.N(most/8) }

// start makes one more read.
func (f *firstRead) start(ctx context.Context) {
	f.underWay++
	f.group.Go(func() {
		var o outcome
		o.err = f.watcher.guard.Try("first read of "+f.watcher.table, func() (err error) {
			o.all, err = f.read(ctx)
			return err
		})
		select {
		case f.outcomes <- o:
		case <-ctx.Done():
		}
	})
}

// read makes one read, which is given up if it doesn't begin to be answered.
func (f *firstRead) read(ctx context.Context) (rowstore.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unbegun := time.AfterFunc(unbegunTime, cancel)
	defer unbegun.Stop()
	begun := rowstore.WithResponseStartHook(ctx, func() {
		unbegun.Stop()
		select {
		case f.begun <- struct{}{}:
		case <-ctx.Done():
		}
	})
	return rowstore.ReadAll(begun, f.watcher.store, f.watcher.table, f.watcher.part, "", "")
}
