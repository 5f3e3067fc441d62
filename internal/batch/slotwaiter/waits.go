// Package slotwaiter tracks how long batch items have waited for slots of upstreams.
package slotwaiter

import "time"

const (
	// longWait is how long the items of a target wait without a single slot until it is
	// logged.
	longWait = 5 * time.Second
	// subsetWait is how long they wait until they may leave the VM's subset of a large
	// fleet.
	subsetWait = 4 * time.Second
)

// Target is where an item may run: at any upstream of a service, or only at those of the
// software version that has written its output.
type Target struct {
	Service string
	Version string
	Pinned  bool // to the version
}

// Versions returns the software versions of a pinned target, otherwise nil.
func (t Target) Versions() []string {
	if !t.Pinned {
		return nil
	}
	return []string{t.Version}
}

// wait is the time in which items of a target have waited and none of them got a slot.
type wait struct {
	since  time.Time
	isLong bool // whether the wait has been reported as a long one
}

// Waits has the targets whose items get no slots at present.
type Waits map[Target]*wait

// RecordRefusal records that an item of a target got no slot. It returns how long its items have waited,
// and whether the wait has become a long one.
func (w Waits) RecordRefusal(where Target, now time.Time) (waited time.Duration, becameLong bool) {
	if w[where] == nil {
		w[where] = &wait{since: now}
	}
	current := w[where]
	waited = now.Sub(current.since)
	becameLong = !current.isLong && waited >= longWait
	current.isLong = current.isLong || becameLong
	return waited, becameLong
}

// RecordSlot records that an item of a target got a slot. It returns how long its items had waited, and
// whether that was a long wait.
func (w Waits) RecordSlot(where Target, now time.Time) (waited time.Duration, wasLong bool) {
	current, found := w[where]
	if !found {
		return 0, false
	}
	delete(w, where)
	return now.Sub(current.since), current.isLong
}

// LeaveSubsetAt returns when the items of a target may leave the VM's subset.
func (w Waits) LeaveSubsetAt(where Target, now time.Time) time.Time {
	if current, found := w[where]; found {
		return current.since.Add(subsetWait)
	}
	return now.Add(subsetWait)
}

// Retain removes the waits of targets that were not refused.
func (w Waits) Retain(refused map[Target]bool) {
	for where := range w {
		if !refused[where] {
			delete(w, where)
		}
	}
}
