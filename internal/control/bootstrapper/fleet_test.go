package bootstrapper_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
)

// roundsTimeout is enough for several rounds of questions.
const roundsTimeout = 1500 * time.Millisecond

// startPeerOf starts a peer VM of a fleet that has one copy of the table t, and returns its address. It
// rejects nothing.
func startPeerOf(t *testing.T, fleet uint64, c watcher.Copy) netip.AddrPort {
	t.Helper()
	return listen(t, newBootstrapperOf(newFleet(fleet), map[string]*table{"t": {known: c}}))
}

// expectStartOf starts a VM that knows some peers and its fleet, which may be 0, and compares the version of
// the content that it obtains, 0 for none, and the fleet that it is of then.
func expectStartOf(t *testing.T, fleet uint64, peers []netip.AddrPort, wantVersion, wantFleet uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), roundsTimeout)
	defer cancel()
	local, own := &table{}, newFleet(fleet)
	b := newBootstrapperOf(own, map[string]*table{"t": local})
	for _, address := range peers {
		b.AddPeer(address)
	}
	b.Run(ctx)
	got, _ := local.Copy(time.Now())
	qt.Check(t, got.Version, qt.Equals, wantVersion)
	qt.Check(t, own.Identity(), qt.Equals, wantFleet)
}

// Guards against: a VM that starts without the store takes the configuration of another fleet.
func TestCopiesOfAnotherFleetAreLeftOut(t *testing.T) {
	own, other, unnamed := startPeerOf(t, 7, copyOf(5, "own")), startPeerOf(t, 8, copyOf(9, "other")), startPeerOf(t, 0, copyOf(6, "unnamed"))
	expect := func(t *testing.T, fleet, wantVersion, wantFleet uint64, peers ...netip.AddrPort) {
		t.Helper()
		expectStartOf(t, fleet, peers, wantVersion, wantFleet)
	}
	t.Run("fleet known", func(t *testing.T) { expect(t, 7, 5, 7, own, other) })
	t.Run("fleet known, only others", func(t *testing.T) { expect(t, 7, 0, 7, other) })
	t.Run("fleet learned from peers", func(t *testing.T) { expect(t, 0, 5, 7, own) })
	t.Run("peers of several fleets", func(t *testing.T) { expect(t, 0, 0, 0, own, other) })
	t.Run("peer that doesn't know its fleet", func(t *testing.T) { expect(t, 7, 6, 7, unnamed, other) })
	t.Run("nobody knows the fleet", func(t *testing.T) { expect(t, 0, 6, 0, unnamed) })
}

// earlierCopies are copies as an earlier release sends and receives them.
type earlierCopies struct {
	Tables map[string]watcher.Copy `cbor:"tables"`
}

// laterCopies have a field that this release doesn't know.
type laterCopies struct {
	earlierCopies
	Later string `cbor:"later"`
}

// Guards against: a VM can't start from VMs of another release.
func TestCopiesBetweenReleases(t *testing.T) {
	earlier := earlierCopies{Tables: map[string]watcher.Copy{"t": copyOf(4, "a")}}
	expect := func(t *testing.T, answer any) {
		t.Helper()
		address := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			qt.Check(t, cbor.NewEncoder(w).Encode(answer), qt.IsNil)
		}))
		expectStartOf(t, 7, []netip.AddrPort{address}, 4, 7)
	}
	t.Run("from an earlier one", func(t *testing.T) { expect(t, earlier) })
	t.Run("from a later one", func(t *testing.T) { expect(t, laterCopies{earlierCopies: earlier, Later: "x"}) })
	t.Run("to an earlier one", func(t *testing.T) {
		response, err := http.Get("http://" + startPeerOf(t, 7, copyOf(4, "a")).String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		var got earlierCopies
		qt.Assert(t, cbor.NewDecoder(response.Body).Decode(&got), qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, earlier)
	})
}
