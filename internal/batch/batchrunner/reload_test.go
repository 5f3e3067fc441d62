package batchrunner_test

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
)

// slowKeeper is a connection to the store that is slow at some calls.
type slowKeeper struct {
	batchrunner.Keeper
	mu sync.Mutex
	// commitDelays are the delays of the first commits before they reach the store.
	commitDelays []time.Duration
	// scanDelay is how long the answers of scans take to arrive.
	scanDelay time.Duration
	claims    atomic.Int32
	// scansOfJob counts the scans of the part of the job "j" that have been answered.
	scansOfJob atomic.Int32
}

// Claim implements batchrunner.Keeper.
func (k *slowKeeper) Claim(
	ctx context.Context, seen batchkeeper.VersionedRecord,
) (batchkeeper.VersionedRecord, error) {
	k.claims.Add(1)
	return k.Keeper.Claim(ctx, seen)
}

func (k *slowKeeper) setScanDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.scanDelay = d
}

// ScanPart implements batchrunner.Keeper.
func (k *slowKeeper) ScanPart(ctx context.Context, part int) ([]batchkeeper.VersionedRecord, error) {
	records, err := k.Keeper.ScanPart(ctx, part)
	k.mu.Lock()
	delay := k.scanDelay
	k.mu.Unlock()
	time.Sleep(delay)
	if part == batchkeeper.PartOf("j") {
		k.scansOfJob.Add(1)
	}
	return records, err
}

// Commit implements batchrunner.Keeper.
func (k *slowKeeper) Commit(
	ctx context.Context, seen batchkeeper.VersionedRecord, results []batchkeeper.Result, tokens int64,
	failureCounts map[int]batchkeeper.FailureCounts,
) (batchkeeper.VersionedRecord, error) {
	k.mu.Lock()
	var delay time.Duration
	if len(k.commitDelays) > 0 {
		delay, k.commitDelays = k.commitDelays[0], k.commitDelays[1:]
	}
	k.mu.Unlock()
	time.Sleep(delay)
	return k.Keeper.Commit(ctx, seen, results, tokens, failureCounts)
}

// startSlow starts a VM with a slow connection to the store.
func (f *fleet) startSlow(name string, commitDelays ...time.Duration) (*vm, *slowKeeper) {
	slow := &slowKeeper{commitDelays: commitDelays}
	f.wrapKeeper = func(k batchrunner.Keeper) batchrunner.Keeper {
		slow.Keeper = k
		return slow
	}
	defer func() { f.wrapKeeper = nil }()
	return f.start(name), slow
}

func (f *fleet) expectNoPanics(v *vm) {
	f.t.Helper()
	var text bytes.Buffer
	v.counters.Set().WritePrometheus(&text)
	qt.Check(f.t, text.String(), qt.Not(qt.Contains), "panics_total")
}

// Guards against: the answer of a scan that comes after the job's last commit makes its VM load the
// completed job again; the next write then ends in a panic, or drops results.
func TestLateScanDoesNotReviveACompletedJob(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		v, slow := f.startSlow("a")
		defer v.stop()
		time.Sleep(600 * time.Millisecond) // the next scan reads the job while it runs
		slow.setScanDelay(2 * time.Second)
		f.submit(v, 2)
		time.Sleep(3 * time.Second)
		slow.setScanDelay(0)
		f.expectResults(v, 10*time.Second, "item0 ok", "item1 ok")
		qt.Check(f.t, f.runs(), qt.HasLen, 2)
		f.expectNoPanics(v)
		qt.Check(f.t, v.counters.Get("jobs_taken_over_total"), qt.Equals, uint64(0))
	})
}

// Guards against: a VM that lost a job and got it back takes the outcome of an old write for one of the
// new instance, drops the instance, and then takes a write of that one for its successor's: results
// that were never stored are dropped, and their items never listed.
func TestOldWriteDoesNotEndANewInstanceOfTheJob(t *testing.T) {
	for n := range 200 {
		firstDelay := 2*time.Second + time.Duration(n%20)*250*time.Millisecond
		secondDelay := 500*time.Millisecond + time.Duration(n/20)*400*time.Millisecond
		t.Run(firstDelay.String()+" "+secondDelay.String(), func(t *testing.T) {
			inFleet(t, 1, fastPlan, func(f *fleet) {
				v, _ := f.startSlow("a", firstDelay, secondDelay, 1500*time.Millisecond)
				defer v.stop()
				f.submit(v, 4)
				time.Sleep(800 * time.Millisecond) // its first commit is under way
				other := batchkeeper.New(f.store, batchkeeper.Owner{VM: "other", Boot: 1}, 64<<10, slog.New(slog.DiscardHandler))
				f.claimAndRelease(other)
				f.expectResults(v, 30*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
				f.expectNoPanics(v)
			})
		})
	}
}

// claimAndRelease claims the job "j" for another VM, which releases it a little later.
func (f *fleet) claimAndRelease(other *batchkeeper.Keeper) {
	records, err := other.ScanPart(f.t.Context(), batchkeeper.PartOf("j"))
	qt.Assert(f.t, err, qt.IsNil)
	claimed, err := other.Claim(f.t.Context(), records[0])
	qt.Assert(f.t, err, qt.IsNil)
	time.Sleep(1200 * time.Millisecond)
	_, err = other.Release(f.t.Context(), claimed, nil)
	qt.Assert(f.t, err, qt.IsNil)
}

// Guards against: a scan that reads a job between its acceptance and its adoption makes its VM claim and
// load the job beside the instance that runs.
func TestScanBeforeAdoptionClaimsNothing(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		v, slow := f.startSlow("a")
		defer v.stop()
		s := batchkeeper.Submission{ID: "j", Route: "r", Host: "h", Retention: time.Minute, Items: itemsOf(2)}
		stored, _, err := v.keeper.Submit(f.t.Context(), s)
		qt.Assert(f.t, err, qt.IsNil)
		for before := slow.scansOfJob.Load(); slow.scansOfJob.Load() == before; {
			time.Sleep(10 * time.Millisecond)
		}
		v.runner.Adopt(stored, s.Items, nil)
		f.expectResults(v, 5*time.Second, "item0 ok", "item1 ok")
		qt.Check(f.t, slow.claims.Load(), qt.Equals, int32(0))
	})
}
