package batchrunner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	testRetention = 2 * time.Minute
	manyJobs      = 30 // so that some parts have several
)

// expectRecords checks how many records of jobs the store has.
func (f *fleet) expectRecords(want int) {
	f.t.Helper()
	synctest.Wait()
	qt.Check(f.t, f.store.Rows("jobs"), qt.HasLen, want)
}

// Guards against: scans read the records of all jobs that were ever submitted.
func TestEndedJobsAreRemovedAfterTheirRetention(t *testing.T) {
	inFleet(t, 4, fastPlan, func(f *fleet) {
		f.retention = testRetention
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		for n := range manyJobs {
			f.submitAs(a, fmt.Sprint("j", n), 1)
		}
		time.Sleep(time.Minute + testRetention) // the route's retention is a minute
		f.expectRecords(manyJobs)
		a.stop() // jobs are removed by the VMs that are left
		time.Sleep(time.Minute)
		f.expectRecords(0)
		qt.Check(f.t, f.store.Rows("jobContent"), qt.HasLen, 0)
		qt.Check(f.t, f.store.Rows("jobResults"), qt.HasLen, 0)
	})
}

// Guards against: a store that fails while jobs are removed keeps them for good.
func TestRemovalGoesOnAfterAnOutage(t *testing.T) {
	inFleet(t, 1, fastPlan, func(f *fleet) {
		f.retention = testRetention
		v := f.start("a")
		defer v.stop()
		f.submit(v, 2)
		time.Sleep(time.Minute)
		f.store.SetFaultFunc(func(c rowemulator.Call) (bool, error) {
			if len(c.Tx.Removes) > 0 {
				return false, rowstore.ErrNotDone
			}
			return true, nil
		})
		time.Sleep(2 * testRetention)
		f.expectRecords(1)
		f.store.SetFaultFunc(nil)
		time.Sleep(time.Minute)
		f.expectRecords(0)
	})
}
