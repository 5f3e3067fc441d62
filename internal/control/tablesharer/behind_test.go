package tablesharer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// newerPeriod is how soon a VM that has heard of a newer row has it, though its feed tells no changes.
const newerPeriod = 5 * time.Second

// Guards against: a VM without readers whose feed stalls has heard of a newer row, and reads only the changes, of which
// its feed tells none.
func TestRowHeardOfIsReadDespiteAStalledFeedWithoutReaders(t *testing.T) {
	play(t, longRows, func(_ *testing.T, r *region) {
		for _, name := range r.readers {
			r.vms[name].stop()
		}
		for _, name := range r.others {
			r.vms[name].store.stalled.Store(true)
		}
		r.put("row0", "second")
		all, _, err := r.rows.Range(r.ctx, table, "", "", "")
		qt.Assert(r.t, err, qt.IsNil)
		for _, name := range r.others {
			r.vms[name].watcher.HearOf(all.Version, time.Now())
		}
		time.Sleep(newerPeriod)
		synctest.Wait()
		r.expectText(r.others, "second")
	})
}
