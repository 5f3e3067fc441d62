package batchrunner_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// unusableIDs are texts that releases which took any bytes for the id of an event have kept as one.
var unusableIDs = []string{"\x8e\xa7", "1\x00", "x", "-1", "1\x85"}

// Guards against: one answer whose event ids are wrong bytes makes the row of an item's progress unreadable, and the VM that takes
// the job over after a crash of its owner can't load it, so that none of its items ever ends.
func TestWrongBytesForAnEventIDDoNotStopTheJob(t *testing.T) {
	first := true
	plan := func(_ string, r *http.Request) standin.Plan {
		plan := slowPlan("", r)
		if r.Header.Get("Request-Id") == "item0" && first {
			first = false
			plan.Events, plan.Gap, plan.Breakage = 1<<20, 5*time.Millisecond, standin.InvalidIDs
		}
		return plan
	}
	inFleet(t, 4, plan, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		f.submit(a, 4)
		time.Sleep(6 * time.Second) // until its renewals have written progress
		a.stop()
		f.expectResults(b, 30*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
	})
}

// putProgress writes progress of items of the job "j" as another release has written it.
func (f *fleet) putProgress(values ...[]byte) {
	f.t.Helper()
	record := f.store.Rows("jobs")[0].Key
	var puts []rowstore.Put
	for n, value := range values {
		key := rowstore.Key{Table: "jobProgress", Part: record.Part, Name: fmt.Sprintf("j/%06d", n)}
		puts = append(puts, rowstore.Put{Key: key, Value: value})
	}
	_, err := f.store.Apply(rowstore.Tx{Puts: puts})
	qt.Assert(f.t, err, qt.IsNil)
}

// unusableProgress returns progress after each of unusableIDs.
func unusableProgress() []batchkeeper.Progress {
	var progress []batchkeeper.Progress
	for _, id := range unusableIDs {
		progress = append(progress, batchkeeper.Progress{LastEvent: id, Output: []byte("wrong")})
	}
	return progress
}

// Guards against: a row of progress that another release has written, and that can't be used, costs more than its item a new
// start: the job can't be loaded, or a run is sent that goes on after what is no event.
func TestRowsOfUnusableProgressCostAStartOfTheirItems(t *testing.T) {
	inFleet(t, 8, fastPlan, func(f *fleet) {
		a := f.startIdle()
		f.submit(a, len(unusableIDs)+2)
		var rows [][]byte
		for _, progress := range unusableProgress() {
			row, err := cbor.Marshal(progress)
			qt.Assert(f.t, err, qt.IsNil)
			rows = append(rows, row)
		}
		f.putProgress(append(rows, []byte("\xff no row"))...)
		b := f.start("b")
		defer b.stop()
		a.stop()
		f.expectResults(b, 20*time.Second,
			"item0 ok", "item1 ok", "item2 ok", "item3 ok", "item4 ok", "item5 ok", "item6 ok")
		qt.Check(f.t, f.runsFromStart(), qt.Equals, len(unusableIDs)+2)
		qt.Check(f.t, b.counters.Get("jobs_with_unusable_progress_total"), qt.Equals, uint64(1))
	})
}

// Guards against: a VM of another release hands over a job with progress that can't be used, and its items go on after what is
// no event.
func TestUnusableProgressThatIsHandedOverCostsAStartOfItsItems(t *testing.T) {
	inFleet(t, 8, fastPlan, func(f *fleet) {
		a := f.startIdle()
		b := f.start("b")
		defer b.stop()
		f.setReceivers(a, b)
		f.submit(a, len(unusableIDs))
		f.beforeMove = func(job *jobmover.Job) {
			for n, progress := range unusableProgress() {
				job.Progress[n] = progress
			}
		}
		f.shutDown(a)
		f.expectResults(b, 20*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok", "item4 ok")
		qt.Check(f.t, f.runsFromStart(), qt.Equals, len(unusableIDs))
	})
}
