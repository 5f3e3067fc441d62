package networkreserver_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/standins/networkreserver"
)

// Guards against a fleet whose VMs reach those of another fleet on the same machine: jobs and
// requests of the other one would run at its upstreams.
func TestNetworksAreReservedForOneTest(t *testing.T) {
	seen := map[networkreserver.Network]bool{}
	for range 50 {
		n := networkreserver.Reserve(t)
		qt.Check(t, seen[n], qt.IsFalse, qt.Commentf("network %v", n))
		seen[n] = true
	}
}
