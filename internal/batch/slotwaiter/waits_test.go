package slotwaiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/slotwaiter"
)

var (
	start = time.Now()
	where = slotwaiter.Target{Service: "s"}
)

// Guards against: a long wait is never reported, or with each pass again.
func TestLongWaitIsReportedOnce(t *testing.T) {
	w := slotwaiter.Waits{}
	refuse := func(after time.Duration) bool {
		waited, becameLong := w.RecordRefusal(where, start.Add(after))
		qt.Check(t, waited, qt.Equals, after)
		return becameLong
	}
	qt.Check(t, []bool{refuse(0), refuse(4 * time.Second)}, qt.DeepEquals, []bool{false, false})
	qt.Check(t, []bool{refuse(5 * time.Second), refuse(6 * time.Second)}, qt.DeepEquals, []bool{true, false})
	waited, wasLong := w.RecordSlot(where, start.Add(7*time.Second))
	qt.Check(t, waited, qt.Equals, 7*time.Second)
	qt.Check(t, wasLong, qt.IsTrue)
	_, wasLong = w.RecordSlot(where, start.Add(8*time.Second))
	qt.Check(t, wasLong, qt.IsFalse)
}

// Guards against: items that got slots, or no longer wait, leave the VM's subset at their next wait.
func TestWaitEndsWithASlotAndWithItsItems(t *testing.T) {
	w := slotwaiter.Waits{}
	w.RecordRefusal(where, start)
	later := start.Add(3 * time.Second)
	qt.Check(t, w.LeaveSubsetAt(where, later), qt.Equals, start.Add(4*time.Second))
	w.Retain(map[slotwaiter.Target]bool{where: true})
	qt.Check(t, w.LeaveSubsetAt(where, later), qt.Equals, start.Add(4*time.Second))
	w.Retain(nil)
	qt.Check(t, w.LeaveSubsetAt(where, later), qt.Equals, later.Add(4*time.Second))
}
