package tablesharer_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// confirmPeriod is how old a confirmation is at most, in calm: one call that waits for changes, and one
	// that begins while the reader's waits.
	confirmPeriod = 3 * time.Second
	silencePeriod = 20 * time.Second
)

// expectConfirmed checks how long ago the content of VMs was last confirmed.
func (r *region) expectConfirmed(names []string, least, most time.Duration) {
	r.t.Helper()
	for _, name := range names {
		age := time.Since(r.vms[name].sharer.ConfirmedAt())
		qt.Check(r.t, age >= least && age <= most, qt.IsTrue, qt.Commentf("%s: %s", name, age))
	}
}

// Guards against: a VM takes its configuration for the newest as another VM shares it, which has lost the store
// itself.
func TestConfirmationComesFromTheStore(t *testing.T) {
	for name, rows := range map[string]int{"long table, of readers": longRows, "short table": 1} {
		t.Run(name, func(t *testing.T) {
			play(t, rows, func(_ *testing.T, r *region) {
				all := append(r.others, r.readers...)
				r.expectConfirmed(all, 0, confirmPeriod)
				for _, v := range r.vms {
					v.store.cutOff.Store(true)
				}
				time.Sleep(silencePeriod)
				r.expectConfirmed(all, silencePeriod-time.Second, silencePeriod+confirmPeriod)
				for _, v := range r.vms {
					v.store.cutOff.Store(false)
				}
				time.Sleep(settlePeriod)
				r.expectConfirmed(all, 0, confirmPeriod)
			})
		})
	}
}

// A follower that can't reach the store itself has its content confirmed by the readers.
func TestConfirmationOfAFollowerWithoutTheStore(t *testing.T) {
	play(t, longRows, func(_ *testing.T, r *region) {
		for _, name := range r.others {
			r.vms[name].store.cutOff.Store(true)
		}
		time.Sleep(silencePeriod)
		r.expectConfirmed(r.others, 0, confirmPeriod)
	})
}

// Guards against: an answer that waited at a VM while that stood still seems new when the VM reads it.
func TestConfirmationIsAsOldAsItsCall(t *testing.T) {
	play(t, 1, func(_ *testing.T, r *region) {
		v := r.vms[r.others[0]]
		v.store.arrival.Store(int64(silencePeriod)) // how long an answer with rows takes to be read
		r.put("row0", "second")
		for !strings.HasPrefix(v.sink.value("row0"), "second") {
			time.Sleep(10 * time.Millisecond)
		}
		r.expectConfirmed([]string{v.name}, silencePeriod, silencePeriod+confirmPeriod)
	})
}
