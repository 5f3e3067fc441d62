package assembler

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/controller"
	"github.com/fescuespindle/fescuespindle/internal/control/messenger"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/faces/operator"
	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
	"github.com/fescuespindle/fescuespindle/platform"
)

// DialFunc opens a connection. Tests and experiments use it to inject delays and faults.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialers are the functions that connect to each kind of remote; nil means plain TCP.
type Dialers struct {
	Platform DialFunc
	Upstream DialFunc
	Peer     DialFunc
}

// PeerSecret is the secret that authenticates the VMs of a fleet to each other.
type PeerSecret []byte

// ProcessNumber identifies a process of a VM. It increases with each start of the VM.
type ProcessNumber uint64

const (
	maxIdlePlatformConns = 16
)

// NewProcessNumber returns the number of a process that starts now: the Unix time in
// milliseconds.
func NewProcessNumber() ProcessNumber { return ProcessNumber(time.Now().UnixMilli()) }

func newCounters() *counter.Counters { return counter.New(metrics.NewSet()) }

func newPlatform(s settingsloader.Settings, d Dialers) *platform.Store {
	transport := &http.Transport{
		DialContext: d.Platform, MaxIdleConnsPerHost: maxIdlePlatformConns, DisableCompression: true,
	}
	return platform.NewStore(s.PlatformURL, transport)
}

func newStore(
	store *platform.Store, s settingsloader.Settings, process ProcessNumber, logger *slog.Logger,
	counters *counter.Counters,
) *storekeeper.Keeper {
	incarnation := s.VM + "-" + strconv.FormatUint(uint64(process), 10)
	return storekeeper.New(store, incarnation, logger, counters)
}

func newJobs(store *storekeeper.Keeper) *jobkeeper.Keeper { return jobkeeper.New(store) }

func newRelayer(d Dialers) *relayer.Relayer { return relayer.New(relayer.Dial(d.Upstream)) }

func newClaimer(s settingsloader.Settings, store *storekeeper.Keeper) *claimer.Claimer {
	return claimer.New(s.VM, store)
}

func newLocation(s settingsloader.Settings, process ProcessNumber, l Listeners) controller.Location {
	return controller.Location{
		VM: s.VM, Domain: s.Domain, Region: s.Region, Process: uint64(process), Peer: l.Peer.Addr().String(),
		Seeds: s.SeedPeers,
	}
}

func newMessenger(
	location controller.Location, secret PeerSecret, c *controller.Controller, counters *counter.Counters, d Dialers,
) *messenger.Messenger {
	self := peer.Sender{VM: location.VM, Incarnation: peer.FirstIncarnation(location.Process), Address: location.Peer}
	m := messenger.New(self, secret, c.ReceiveMessage, counters, d.Peer)
	c.SetSender(m)
	return m
}

func newDispatcher(
	r *relayer.Relayer, c *controller.Controller, link *linkmeter.Meter, counters *counter.Counters,
	q *quarantiner.Quarantine,
	options []dispatcher.Option,
) *dispatcher.Dispatcher {
	return dispatcher.New(r, c, c, link, counters, q, options...)
}

func newProfiling(s settingsloader.Settings) operator.Profiling {
	return operator.Profiling(s.Profiling)
}
