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

// Guards against: checks of an upstream that nobody reaches end before they have a verdict, so that requests
// wait for it again.
func TestChecksKeepAnUnreachableUpstreamFromRequests(t *testing.T) {
	eachFault(t, func(t *testing.T, fault error) {
		f := newFleet(t, 2, 4)
		f.setLost(0, fault)
		f.setLost(1, fault)
		_, _, err := f.dial(addressOf(0))
		qt.Assert(t, err, qt.IsNotNil)
		for range 10 {
			time.Sleep(700 * time.Millisecond)
			began := time.Now()
			_, _, err := f.dial(addressOf(0))
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, time.Since(began) < time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		}
	})
}
