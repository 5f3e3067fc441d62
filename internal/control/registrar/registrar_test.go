package registrar_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/registrar"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

var start = time.Unix(1_700_000_000, 0)

func expectList(t *testing.T, r *registrar.Registrar, after time.Duration, want ...string) {
	t.Helper()
	var got []string
	for _, u := range r.Upstreams(start.Add(after)) {
		got = append(got, u.ID)
	}
	qt.Check(t, got, qt.DeepEquals, want)
}

func newRegistrar() *registrar.Registrar {
	r := registrar.New()
	r.Update(placer.Upstream{ID: "a"}, 5)
	r.Update(placer.Upstream{ID: "b"}, 6)
	return r
}

func TestMissingEntryIsRemovedAtOnceWithoutOutage(t *testing.T) {
	r := newRegistrar()
	r.MarkMissing("a", start)
	expectList(t, r, 0, "b")
}

func TestEntriesThatExpireInOutage(t *testing.T) {
	t.Run("stay until upstreams could write again", func(t *testing.T) {
		r := newRegistrar()
		r.RecordOutage(start)
		r.MarkMissingExcept(map[string]bool{"b": true}, start.Add(time.Second))
		expectList(t, r, 2*time.Second, "a", "b")
		qt.Check(t, r.NextRemoval().IsZero(), qt.IsFalse)
		expectList(t, r, r.NextRemoval().Sub(start), "b")
		qt.Check(t, r.NextRemoval().IsZero(), qt.IsTrue)
	})
	t.Run("stay if they come back", func(t *testing.T) {
		r := newRegistrar()
		r.RecordOutage(start)
		r.MarkMissingExcept(nil, start.Add(time.Second))
		r.Update(placer.Upstream{ID: "a"}, 9)
		expectList(t, r, 3*time.Second, "a")
	})
}

func TestRereadEntryIsNotReportedAsChanged(t *testing.T) {
	r := newRegistrar()
	qt.Check(t, r.Update(placer.Upstream{ID: "a"}, 5), qt.IsFalse)
	qt.Check(t, r.Update(placer.Upstream{ID: "a"}, 7), qt.IsTrue)
	r.MarkMissing("a", start)
	qt.Check(t, r.Update(placer.Upstream{ID: "a"}, 7), qt.IsTrue, qt.Commentf("it is back"))
}

func TestOlderVersionChangesNothing(t *testing.T) {
	r := newRegistrar()
	r.Update(placer.Upstream{ID: "a", Draining: true}, 8)
	r.Update(placer.Upstream{ID: "a"}, 7)
	qt.Check(t, r.Upstreams(start)[0].Draining, qt.IsTrue)
}
