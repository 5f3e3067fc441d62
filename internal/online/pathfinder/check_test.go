package pathfinder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
)

// Guards against: a VM that has lost one link, and dials nothing else as its connections are open, tells other
// VMs that it has no link at all, and its own failures of other upstreams go unreported.
func TestVMThatLostOneLinkSoonKnowsThatOthersWork(t *testing.T) {
	eachFault(t, func(t *testing.T, fault error) {
		f := newFleet(t, 3, 4)
		f.loseLink(0, addressOf(0), fault)
		f.expectConnected(addressOf(0), 300*time.Millisecond, true)
		time.Sleep(2 * time.Second)
		qt.Check(t, f.finders[0].IsCutOff(time.Now()), qt.IsFalse)
		conn, err := f.finders[0].Connect(t.Context(), f.upstreams[addressOf(1)])
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, conn.Close(), qt.IsNil)
		_, err = f.finders[0].Connect(t.Context(), f.upstreams[addressOf(0)])
		qt.Check(t, err, qt.Equals, tunneler.ErrNoLink)
	})
}

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
