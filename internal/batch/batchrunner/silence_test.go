package batchrunner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
)

// countingKeeper counts the reads of single records, and how their contexts ended.
type countingKeeper struct {
	batchrunner.Keeper
	reads   atomic.Int32
	expired atomic.Int32 // reads whose context passed a deadline
}

// Record implements batchrunner.Keeper.
func (k *countingKeeper) Record(ctx context.Context, id string) (batchkeeper.VersionedRecord, error) {
	k.reads.Add(1)
	read, err := k.Keeper.Record(ctx, id)
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it as it is
		k.expired.Add(1)
	}
	return read, err
}

// startCounting starts a VM by a function; its reads of records are counted.
func (f *fleet) startCounting(start func() *vm) (*vm, *countingKeeper) {
	k := &countingKeeper{}
	f.wrapKeeper = func(keeper batchrunner.Keeper) batchrunner.Keeper {
		k.Keeper = keeper
		return k
	}
	defer func() { f.wrapKeeper = nil }()
	return start(), k
}

// Guards against: in an outage each job of a VM reads its record again and again, and so many reads
// crowd out the calls of other VMs.
func TestOutageIsWatchedByOneReadOfAPartAtATime(t *testing.T) {
	inFleet(t, 1, slowPlan, func(f *fleet) {
		v, k := f.startCounting(func() *vm { return f.start("a") })
		defer v.stop()
		const jobs, outage, pause = 200, 9 * time.Second, 300 * time.Millisecond
		for n := range jobs {
			f.submitAs(v, fmt.Sprint("j", n), 1)
		}
		f.store.SetDown(true)
		time.Sleep(outage)
		// One of each job, until the outage is known, and then one of each part after each pause.
		const most = jobs + batchkeeper.Parts*int(outage/pause)
		got := int(k.reads.Load())
		qt.Check(f.t, got > 0 && got <= most, qt.IsTrue, qt.Commentf("%d reads", got))
	})
}

// Guards against: a read that is given up after half a second counts as a store that doesn't answer this
// VM, so that all its calls go through peer VMs.
func TestCheckThatIsGivenUpIsCanceled(t *testing.T) {
	inFleet(t, 1, slowPlan, func(f *fleet) {
		var l *link
		v, k := f.startCounting(func() *vm {
			var started *vm
			started, l = f.startLinked("a")
			return started
		})
		defer v.stop()
		f.submit(v, 4)
		l.set(true, true)
		time.Sleep(6 * time.Second)
		qt.Check(f.t, k.reads.Load() > 1, qt.IsTrue)
		qt.Check(f.t, k.expired.Load(), qt.Equals, int32(0))
		l.set(false, false)
	})
}
