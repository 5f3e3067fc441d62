package entryvm

import (
	"log/slog"
	"net"
	"net/netip"
	"strconv"

	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/quotateller"
	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
	"github.com/fescuespindle/fescuespindle/platform"
)

// quotaPortOffset is the distance of the port of quota messages from that at which other VMs reach this one. VMs
// of earlier releases don't listen there.
const quotaPortOffset = 1

func newQuotas(
	s platform.Settings, id bootID, fleet *fleetidentifier.Fleet, tasks *supervisor.Supervisor, counters *counter.Counters,
	logger *slog.Logger,
) (*quotateller.Teller, error) {
	teller, err := quotateller.New(
		quotakeeper.Member{VM: s.VM, Domain: s.Domain}, uint64(id), net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort+quotaPortOffset)),
		quotakeeper.Terms{Window: s.Quota.Window, Overage: s.Quota.Overage, Slack: s.Quota.Slack}, tasks, fleet, logger,
	)
	if err != nil {
		return nil, err
	}
	gauge := func(name string, value func(quotakeeper.Status) float64) {
		counters.Gauge(name, func() float64 { return value(teller.Status()) })
	}
	gauge("quota_teams_kept", func(s quotakeeper.Status) float64 { return float64(s.Kept) })
	gauge("quota_teams_closed", func(s quotakeeper.Status) float64 { return float64(s.Closed) })
	gauge("quota_requests_uncounted", func(s quotakeeper.Status) float64 { return float64(s.Uncounted) })
	gauge("quota_share", func(s quotakeeper.Status) float64 { return s.Share })
	return teller, nil
}

// setQuotaPeers passes the other live VMs to the keeper of quotas. It must not be called before the list of VMs has
// been read: a VM that takes itself for the only one uses the whole quotas.
func (vm *VM) setQuotaPeers(members []memberkeeper.Member) {
	peers := make([]quotateller.Peer, 0, len(members))
	for _, m := range members {
		address, err := netip.ParseAddr(m.IP)
		if err != nil {
			continue // setPeers logs it
		}
		peers = append(peers, quotateller.Peer{
			VM: m.VM, Domain: m.Domain, Address: netip.AddrPortFrom(address, uint16(vm.settings.PeerPort+quotaPortOffset)),
		})
	}
	vm.quotas.SetPeers(peers)
}

// setQuotas passes the quotas of a configuration's teams to their keeper.
func (vm *VM) setQuotas(table *router.Table) {
	limits := map[string]quotakeeper.Limit{}
	for _, t := range table.Teams() {
		if t.HasQuota() {
			limits[t.Name] = quotakeeper.Limit{PerSecond: t.RatePerSecond, Burst: t.Burst}
		}
	}
	vm.quotas.SetLimits(limits)
}
