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
	"github.com/fescuespindle/fescuespindle/internal/online/pathfinder"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/socketdialer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
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
	// responseMemoryBytes bounds the long responses of the platform that are read at the same time.
	responseMemoryBytes = 64 << 20
)

// NewProcessNumber returns the number of a process that starts now: the Unix time in
// milliseconds.
func NewProcessNumber() ProcessNumber { return ProcessNumber(time.Now().UnixMilli()) }

func newCounters() *counter.Counters { return counter.New(metrics.NewSet()) }

func newPlatform(s settingsloader.Settings, d Dialers) *platform.Store {
	transport := transporter.New(transporter.DialFunc(d.Platform))
	transport.MaxIdleConnsPerHost = maxIdlePlatformConns
	return platform.NewStore(s.PlatformURL, transport, platform.WithResponseMemory(responseMemoryBytes))
}

func newStore(
	store *platform.Store, s settingsloader.Settings, process ProcessNumber, logger *slog.Logger,
	counters *counter.Counters,
) *storekeeper.Keeper {
	incarnation := s.VM + "-" + strconv.FormatUint(uint64(process), 10)
	return storekeeper.New(store, incarnation, logger, counters)
}

func newJobs(store *storekeeper.Keeper) *jobkeeper.Keeper { return jobkeeper.New(store) }

const (
	// upstreamDialTimeout and peerDialTimeout bound the opening of connections.
	upstreamDialTimeout = 500 * time.Millisecond
	peerDialTimeout     = 300 * time.Millisecond
	// tunnelMemoryBytes bounds the buffers of connections that are carried for other VMs.
	tunnelMemoryBytes = 16 << 20
)

// orTCP returns a dial function, or one over TCP if it is nil.
func orTCP(dial DialFunc, timeout time.Duration) relayer.Dial {
	if dial == nil {
		return socketdialer.New(timeout).DialContext
	}
	return relayer.Dial(dial)
}

func newAuthenticator(secret PeerSecret) *messenger.Authenticator {
	return messenger.NewAuthenticator(secret)
}

func newFinder(
	s settingsloader.Settings, authenticator *messenger.Authenticator, counters *counter.Counters, logger *slog.Logger, d Dialers,
) *pathfinder.Finder {
	header := authenticator.Header(s.VM)
	return pathfinder.New(orTCP(d.Upstream, upstreamDialTimeout), orTCP(d.Peer, peerDialTimeout), counters, logger,
		pathfinder.WithPeerHeader(func() http.Header { return header }))
}

func newCarrier(finder *pathfinder.Finder, counters *counter.Counters, logger *slog.Logger) *tunneler.Carrier {
	return tunneler.NewCarrier(finder, rationer.New(tunnelMemoryBytes), counters, logger)
}

// newRelayer returns a relayer that keeps connections only over the VM's own links. Those that were
// open before a link became silent, and those through peer VMs once it is restored, are closed.
func newRelayer(finder *pathfinder.Finder) *relayer.Relayer {
	r := relayer.New(finder.Dial, relayer.WithMayPool(func(address string) bool { return !finder.IsLost(address) }))
	finder.SetOnChange(func(string) { r.CloseIdle() })
	return r
}

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
	location controller.Location, authenticator *messenger.Authenticator, c *controller.Controller,
	counters *counter.Counters, d Dialers,
) *messenger.Messenger {
	self := peer.Sender{VM: location.VM, Incarnation: peer.FirstIncarnation(location.Process), Address: location.Peer}
	m := messenger.New(self, authenticator, c.ReceiveMessage, counters, d.Peer)
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
