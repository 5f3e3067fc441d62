package entryvm

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/control/bootstrapper"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/faces/batchserver"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storerelayer"
	"github.com/fescuespindle/fescuespindle/platform"
)

// boot is the number of this process among those of its VM.
type boot uint64

func newBoot() boot { return boot(rand.Uint64()) }

// circle closes the circles between parts: those that are made first call those
// that are made later through it. Nothing calls it before the VM starts.
type circle struct{ vm *VM }

func newCircle() *circle { return &circle{} }

// workChanged is called at every change of the work on upstreams.
func (c *circle) workChanged(change placer.Change) {
	for id, f := range change.Failing {
		c.vm.logger.Info("upstream failing", "upstream", id, "inARow", f.ConsecutiveFailures, "for", f.Remaining)
	}
	c.vm.teller.RecordChange(change)
	c.vm.runner.Wake()
}

func (c *circle) setPeers(members []memberkeeper.Member) { c.vm.setPeers(members) }

// table returns the configuration in force.
func (c *circle) table() *router.Table { return c.vm.gateway.Table() }

func (c *circle) limits() router.Limits {
	if table := c.table(); table != nil {
		return table.Limits()
	}
	return router.Limits{}
}

func newCounters() *counter.Counters { return counter.New(metrics.NewSet()) }

func newCodec() platform.Codec { return platform.Codec{} }

const (
	// heldShare is the part of the VM's memory, as a divisor, that may be taken by
	// bytes held for callers.
	heldShare = 4
	// defaultHeld is taken where the settings name no memory.
	defaultHeld = 64 << 20
)

func newMemory(s platform.Settings) *rationer.Rationer {
	if s.MemoryBytes <= 0 {
		return rationer.New(defaultHeld)
	}
	return rationer.New(s.MemoryBytes / heldShare)
}

// peerAddress is where other VMs reach this one, over TCP and UDP.
func peerAddress(s platform.Settings) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

func newTasks(counters *counter.Counters, logger *slog.Logger) *supervisor.Supervisor {
	return supervisor.New(counters, logger)
}

func newTeller(
	s platform.Settings, b boot, neighbours *bootstrapper.Bootstrapper, tasks *supervisor.Supervisor, logger *slog.Logger,
) (*peerteller.Reporter, error) {
	teller, err := peerteller.New(s.VM, s.Domain, uint64(b), peerAddress(s), tasks, logger,
		peerteller.WithNewPeer(neighbours.AddPeer))
	if err != nil {
		return nil, fmt.Errorf("start peer messages: %w", err)
	}
	return teller, nil
}

func newBootstrapper(tasks *supervisor.Supervisor, logger *slog.Logger) *bootstrapper.Bootstrapper {
	return bootstrapper.New(storeTransport(), tasks, logger)
}

func newPlacer(s platform.Settings, c *circle) *placer.Placer {
	return placer.New(s.VM, s.Domain, s.Regions, placer.WithOnChange(c.workChanged))
}

func newForwarder(codec platform.Codec) *forwarder.Forwarder { return forwarder.New(codec.AnswerID) }

func newRelayer(s platform.Settings, counters *counter.Counters, logger *slog.Logger) *storerelayer.Relayer {
	return storerelayer.New(s.StoreAddress, storeTransport(), storeTransport(), counters, logger)
}

func newStore(s platform.Settings, relayer *storerelayer.Relayer) *platform.Store {
	return platform.NewStore("http://"+s.StoreAddress, relayer)
}

func newMembers(
	store rowstore.Store, s platform.Settings, b boot, c *circle, logger *slog.Logger,
) *memberkeeper.Keeper {
	self := memberkeeper.Member{VM: s.VM, IP: s.IP, Domain: s.Domain, Boot: uint64(b)}
	return memberkeeper.New(store, self, c.setPeers, logger)
}

func newOwner(s platform.Settings, b boot) batchkeeper.Owner {
	return batchkeeper.Owner{VM: s.VM, Boot: uint64(b)}
}

func newJobKeeper(
	store rowstore.Store, owner batchkeeper.Owner, s platform.Settings, logger *slog.Logger,
) *batchkeeper.Keeper {
	return batchkeeper.New(store, owner, s.MaxRowBytes, logger)
}

func newRunner(
	owner batchkeeper.Owner, keeper *batchkeeper.Keeper, p *placer.Placer, couriers *courier.Courier,
	members *memberkeeper.Keeper, c *circle, memory *rationer.Rationer, mover *jobmover.Mover,
	tasks *supervisor.Supervisor, counters *counter.Counters, logger *slog.Logger,
) *batchrunner.Runner {
	return batchrunner.New(owner, keeper, p, couriers, members, c.table, memory, tasks, counters, logger,
		batchrunner.WithMover(mover))
}

func newMover(logger *slog.Logger) *jobmover.Mover { return jobmover.New(storeTransport(), logger) }

func newSharedState(
	p *placer.Placer, q *quarantiner.Quarantine, runner *batchrunner.Runner, logger *slog.Logger,
) *sharedState {
	return &sharedState{placer: p, quarantine: q, runner: runner, logger: logger, cancelled: map[string]time.Time{}}
}

func newJobServer(
	codec platform.Codec, keeper *batchkeeper.Keeper, shared *sharedState, c *circle, memory *rationer.Rationer,
	counters *counter.Counters, logger *slog.Logger,
) *batchserver.Server {
	return batchserver.New(codec, keeper, shared, c.limits, memory, counters, logger)
}

func newGateway(
	codec platform.Codec, couriers *courier.Courier, p *placer.Placer, q *quarantiner.Quarantine,
	jobs *batchserver.Server, memory *rationer.Rationer, counters *counter.Counters, logger *slog.Logger,
) *gateway.Gateway {
	return gateway.New(codec, couriers, p, q, jobs, memory, counters, logger)
}
