package jobremover_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobremover"
)

const (
	retention = 2 * time.Minute
	part      = 3
)

// ended returns the record of an ended job.
func ended(id string, due, expires time.Duration) batchkeeper.VersionedRecord {
	return batchkeeper.VersionedRecord{Record: batchkeeper.Record{ID: id, Items: 1, Results: 1, Due: due, Expires: expires}}
}

func TestJobsAreRemovedAfterTheirRetention(t *testing.T) {
	expect := func(name string, retention, now time.Duration, want string, records ...batchkeeper.VersionedRecord) {
		t.Run(name, func(t *testing.T) {
			record, found := jobremover.New(retention).Start(part, records, now)
			qt.Check(t, record.ID, qt.Equals, want)
			qt.Check(t, found, qt.Equals, want != "")
		})
	}
	job := ended("j", time.Minute, 2*time.Minute)
	open := job
	open.Results = 0
	cancelled := open
	cancelled.Cancelled = true
	expect("too early", retention, 4*time.Minute, "", job)
	expect("later", retention, 4*time.Minute+time.Second, "j", job)
	expect("due after it expires", retention, 4*time.Minute+time.Second, "", ended("j", 3*time.Minute, time.Minute))
	expect("open", retention, time.Hour, "", open)
	expect("cancelled", retention, time.Hour, "j", cancelled)
	expect("never", 0, time.Hour, "", job)
	expect("the first that may be", retention, time.Hour, "k", open, ended("k", 0, 0), job)
}

func TestOneRemovalPerPartAtATime(t *testing.T) {
	r := jobremover.New(retention)
	records := []batchkeeper.VersionedRecord{ended("j", 0, 0), ended("k", 0, 0)}
	expect := func(part int, want bool) {
		t.Helper()
		_, found := r.Start(part, records, time.Hour)
		qt.Check(t, found, qt.Equals, want)
	}
	expect(part, true)
	expect(part, false)
	expect(part+1, true)
	r.End(part)
	expect(part, true)
}
