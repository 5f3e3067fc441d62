package quotateller_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/control/quotateller"
	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
)

// freeAddress returns an address of loopback at which nobody listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startFleet starts VMs of the given fleets that know each other, with one team.
func startFleet(t *testing.T, fleets []uint64, limit quotakeeper.Limit) []*quotateller.Teller {
	t.Helper()
	logger, counters := slog.New(slog.DiscardHandler), counter.New(metrics.NewSet())
	tasks := supervisor.New(counters, logger)
	var tellers []*quotateller.Teller
	var peers []quotateller.Peer
	for n, identity := range fleets {
		fleet := fleetidentifier.NewFleet(counters, logger)
		fleet.Adopt(identity)
		self := quotakeeper.Member{VM: fmt.Sprint("vm", n), Domain: fmt.Sprint("d", n%2)}
		address := freeAddress(t)
		teller, err := quotateller.New(self, uint64(100*n), address.String(), quotakeeper.Terms{Window: time.Second}, tasks, fleet, logger)
		qt.Assert(t, err, qt.IsNil)
		peers = append(peers, quotateller.Peer{VM: self.VM, Domain: self.Domain, Address: address})
		tellers = append(tellers, teller)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for n, teller := range tellers {
		others := append(append([]quotateller.Peer{}, peers[:n]...), peers[n+1:]...)
		teller.SetPeers(others)
		teller.SetLimits(map[string]quotakeeper.Limit{"team": limit})
		group.Go(func() { teller.Run(ctx) })
	}
	return tellers
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition never held")
}

// admit has a VM admit requests, each once the one before is counted, until it rejects one.
func admit(t *testing.T, teller *quotateller.Teller) int {
	t.Helper()
	for n := range 10_000 {
		if teller.Admit("team").Outcome != quotakeeper.Admitted {
			return n
		}
		eventually(t, func() bool { return teller.Status().Uncounted == 0 })
	}
	return 10_000
}

func TestVMsShareAQuota(t *testing.T) {
	tellers := startFleet(t, []uint64{7, 7, 7}, quotakeeper.Limit{PerSecond: 0.001, Burst: 20})
	first := admit(t, tellers[0])
	qt.Check(t, first > 0, qt.IsTrue)
	for _, teller := range tellers {
		eventually(t, func() bool { return teller.Admit("team").Outcome == quotakeeper.OverQuota })
	}
}

func TestMessagesOfAnotherFleetAreIgnored(t *testing.T) {
	tellers := startFleet(t, []uint64{7, 8}, quotakeeper.Limit{PerSecond: 0.001, Burst: 20})
	qt.Check(t, admit(t, tellers[0]) > 0, qt.IsTrue)
	qt.Check(t, tellers[1].Admit("team").Outcome, qt.Equals, quotakeeper.Admitted)
}

func TestReturnedRequests(t *testing.T) {
	teller := startFleet(t, []uint64{7}, quotakeeper.Limit{PerSecond: 0.001, Burst: 3})[0]
	for range 20 {
		d := teller.Admit("team")
		qt.Assert(t, d.Outcome, qt.Equals, quotakeeper.Admitted)
		eventually(t, func() bool { return teller.Status().Uncounted == 0 })
		teller.Return("team", 0)
		eventually(t, func() bool { return teller.Status().Uncounted == 0 })
	}
}

// Guards against: what a VM has to tell another one of many teams exceeds a datagram, and is never told.
func TestManyTeamsBetweenTwoVMs(t *testing.T) {
	const teams = 4700
	tellers := startFleet(t, []uint64{7, 7}, quotakeeper.Limit{})
	limits := map[string]quotakeeper.Limit{}
	for n := range teams {
		limits[fmt.Sprint("team", n)] = quotakeeper.Limit{PerSecond: 10, Burst: 10}
	}
	for _, teller := range tellers {
		teller.SetLimits(limits)
	}
	for team := range limits {
		tellers[0].Admit(team)
	}
	eventually(t, func() bool { return tellers[0].Status().Uncounted == 0 })
	eventually(t, func() bool { return tellers[1].Status().Kept > teams/3 })
}

// Guards against: requests that a VM admits before it knows the others are counted a minute later, and all others
// are rejected meanwhile.
func TestRequestsBeforeTheOtherVMsAreKnown(t *testing.T) {
	logger, counters := slog.New(slog.DiscardHandler), counter.New(metrics.NewSet())
	self := quotakeeper.Member{VM: "vm", Domain: "d"}
	teller, err := quotateller.New(self, 1, freeAddress(t).String(), quotakeeper.Terms{Window: time.Second},
		supervisor.New(counters, logger), fleetidentifier.NewFleet(counters, logger), logger)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	group.Go(func() { teller.Run(ctx) })
	teller.SetLimits(map[string]quotakeeper.Limit{"team": {PerSecond: 10, Burst: 10}})
	for teller.Admit("team").Outcome == quotakeeper.Admitted {
		time.Sleep(10 * time.Millisecond) // so that each has its step
	}
	teller.SetPeers(nil)
	eventually(t, func() bool { return teller.Status().Uncounted == 0 })
}
