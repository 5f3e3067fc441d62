package orphanwatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/orphanwatcher"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func record(version uint64) batchkeeper.VersionedRecord {
	return batchkeeper.VersionedRecord{Record: batchkeeper.Record{ID: "j"}, Version: version}
}

// expectOrphan looks at a record at a moment, as the only VM that may take it over.
func expectOrphan(t *testing.T, w *orphanwatcher.Watcher, when time.Duration, version uint64, ended, want bool) {
	t.Helper()
	w.Read(batchkeeper.PartOf("j"), at(when))
	got := w.IsOrphan(record(version), ended, []string{"a"}, at(when))
	qt.Check(t, got, qt.Equals, want, qt.Commentf("after %s", when))
}

func TestARecordThatIsRenewedHasAnOwner(t *testing.T) {
	w := orphanwatcher.New("a")
	for second := range 20 {
		expectOrphan(t, w, time.Duration(second)*time.Second, uint64(second), false, false)
	}
}

func TestARecordThatStaysAsItIsHasLostItsOwner(t *testing.T) {
	w := orphanwatcher.New("a")
	for second := range 4 {
		expectOrphan(t, w, time.Duration(second)*time.Second, 1, false, false)
	}
	expectOrphan(t, w, 4*time.Second, 1, false, true)
}

func TestAnOwnerThatHasEndedIsLostAtOnce(t *testing.T) {
	w := orphanwatcher.New("a")
	expectOrphan(t, w, 0, 1, false, false)
	expectOrphan(t, w, time.Second, 1, true, true)
}

// An outage of the store keeps owners from renewing as it keeps this VM from
// looking.
func TestAnOutageOfTheStoreLosesNoOwner(t *testing.T) {
	w := orphanwatcher.New("a")
	expectOrphan(t, w, 0, 1, false, false)
	expectOrphan(t, w, 30*time.Second, 1, false, false)
	expectOrphan(t, w, 31*time.Second, 1, false, false)
	expectOrphan(t, w, 32*time.Second, 1, false, false)
	expectOrphan(t, w, 33*time.Second, 1, false, true)
}

// What the looks at jobs cost the store doesn't grow with the square of the
// fleet: each part has a few watchers.
func TestLooksAtJobsAreFewInALargeFleet(t *testing.T) {
	for _, count := range []int{1, 3, 12, 295, 1200} {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			var vms []string
			for n := range count {
				vms = append(vms, fmt.Sprint("vm", n))
			}
			for part := range batchkeeper.Parts {
				watchers := orphanwatcher.WatchersOf(part, vms)
				qt.Check(t, len(watchers) >= min(count, 3) && len(watchers) <= 8, qt.IsTrue)
			}
		})
	}
}
