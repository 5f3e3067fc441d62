package pathfinder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
)

// Guards against: each connection that an upstream refuses costs a peer VM connections to five others.
func TestRefusalCostsPeerFewConnections(t *testing.T) {
	inBubble(t, "one other upstream answers", func(t *testing.T) {
		f := newFleet(t, 2, 8)
		f.addEnded()
		_, err := f.finders[1].Connect(t.Context(), "ended")
		qt.Check(t, err, qt.Equals, tunneler.ErrRefused)
		time.Sleep(time.Second)
		qt.Check(t, f.dialsOf(1), qt.Equals, 2)
	})
}
