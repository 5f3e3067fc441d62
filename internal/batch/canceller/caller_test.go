package canceller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// Guards against: a cancellation of another team takes effect later, or stands for that of the team whose job
// it is.
func TestCancellationOfAnotherTeam(t *testing.T) {
	withVM(t, func(v *vm) {
		own, other := batchkeeper.Caller{HasTeams: true, Team: "a"}, batchkeeper.Caller{HasTeams: true, Team: "b"}
		for _, id := range []string{"kept", "ended"} {
			_, _, err := v.keeper.Submit(v.t.Context(), batchkeeper.Submission{
				ID: id, Route: "r", Host: "h", Retention: time.Minute, Caller: own,
				Items: []batchkeeper.Item{{ID: "item", URI: "/x", Body: []byte("body"), Tokens: 1}},
			})
			qt.Assert(v.t, err, qt.IsNil)
		}
		qt.Check(t, v.canceller.Cancel(v.t.Context(), other, "kept"), qt.ErrorIs, batchkeeper.ErrNotFound)
		v.store.SetDown(true)
		for _, id := range []string{"kept", "ended"} {
			qt.Check(t, v.canceller.Cancel(v.t.Context(), other, id), qt.IsNotNil)
		}
		qt.Check(t, v.canceller.Cancel(v.t.Context(), own, "ended"), qt.IsNotNil)
		qt.Check(t, v.canceller.Kept(), qt.Equals, 3)
		v.store.SetDown(false)
		time.Sleep(2 * time.Second)
		qt.Check(t, v.canceller.Kept(), qt.Equals, 0)
		qt.Check(t, v.isCancelled("ended"), qt.IsTrue)
		qt.Check(t, v.isCancelled("kept"), qt.IsFalse)
		qt.Check(t, v.confirmedAt("kept").IsZero(), qt.IsTrue)
	})
}
