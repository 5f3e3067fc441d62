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
	"github.com/fescuespindle/fescuespindle/internal/batch/canceller"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/control/bootstrapper"
	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/control/quotateller"
	"github.com/fescuespindle/fescuespindle/internal/control/tablesharer"
	"github.com/fescuespindle/fescuespindle/internal/faces/batchserver"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/authenticator"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/pathfinder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/online/versionkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headbounder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/socketdialer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/spooler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
	"github.com/fescuespindle/fescuespindle/internal/store/callcounter"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storerelayer"
	"github.com/fescuespindle/fescuespindle/platform"
)

// bootID identifies a process among those of its VM. It is drawn at random at startup.
type bootID uint64

func newBootID() bootID { return bootID(rand.Uint64()) }

// callbacks resolves cyclic dependencies: parts that are built early use it to call parts
// that are built later. It must not be called before the VM starts.
type callbacks struct{ vm *VM }

func newCallbacks() *callbacks { return &callbacks{} }

// onWorkChange reports a change of this VM's requests on an upstream, or of the upstream's
// state, to peer VMs, wakes the batch runner, and passes a released slot on to a waiting request.
func (c *callbacks) onWorkChange(change placer.Change) {
	for id, f := range change.Failing {
		c.vm.logger.Info("upstream failing", "upstream", id, "inARow", f.ConsecutiveFailures, "for", f.Remaining)
	}
	c.vm.reporter.RecordChange(change)
	c.vm.runner.Wake()
	if change.Released != "" {
		c.vm.gateway.SlotReleased(change.Released)
	}
}

// onCrashNews tells peer VMs of crashes of upstreams.
func (c *callbacks) onCrashNews() { c.vm.reporter.Wake() }

// onOtherFleet has the process end.
func (c *callbacks) onOtherFleet(reason error) { c.vm.fail(reason) }

func (c *callbacks) setPeers(members []memberkeeper.Member) {
	c.vm.setPeers(members)
	c.vm.setQuotaPeers(members)
}

// Table implements batchrunner.Configuration.
func (c *callbacks) Table() *router.Table { return c.vm.gateway.Table() }

// AsOf implements batchrunner.Configuration.
func (c *callbacks) AsOf() uint64 { return c.vm.configuration.Version() }

// configurationConfirmedAt returns when the configuration in force was last known to be the newest; zero if never.
func (c *callbacks) configurationConfirmedAt() time.Time {
	confirmedAt := c.vm.sharer.ConfirmedAt()
	if behind := c.vm.configuration.BehindSince(); !behind.IsZero() && behind.Before(confirmedAt) {
		return behind
	}
	return confirmedAt
}

func (c *callbacks) limits() router.Limits {
	if table := c.Table(); table != nil {
		return table.Limits()
	}
	return router.Limits{}
}

func newCounters() *counter.Counters { return counter.New(metrics.NewSet()) }

func newCodec() platform.Codec { return platform.Codec{} }

const (
	// bufferMemoryDivisor is the ratio of the VM's memory to the bytes that may be buffered
	// for callers.
	bufferMemoryDivisor = 4
	// storeMemoryDivisor is the ratio of the VM's memory to that for long responses of the store.
	storeMemoryDivisor = 6
	// defaultBufferBytes applies if the settings don't state the VM's memory.
	defaultBufferBytes = 64 << 20
)

func newRationer(s platform.Settings) *rationer.Rationer {
	if s.MemoryBytes <= 0 {
		return rationer.New(defaultBufferBytes)
	}
	return rationer.New(s.MemoryBytes / bufferMemoryDivisor)
}

// newBounder returns a bounder of heads, whose budget is apart from that of newRationer: they must not end other
// callers' streams.
func newBounder(s platform.Settings, counters *counter.Counters) *headbounder.Bounder {
	return headbounder.New(rationer.New(headbounder.HeadMemory(s.MemoryBytes)), counters)
}

// newSpooler returns a spooler that leaves half of the budget to others.
func newSpooler(
	budget *rationer.Rationer, tasks *supervisor.Supervisor, counters *counter.Counters, logger *slog.Logger,
) *spooler.Spooler {
	s := spooler.New(budget, tasks, counters, logger, spooler.WithSpared(budget.Available()/2))
	counters.Gauge("answers_kept", func() float64 { return float64(s.Behind()) })
	return s
}

// peerAddress returns the address at which other VMs reach this one over TCP and UDP.
func peerAddress(s platform.Settings) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

func newSupervisor(counters *counter.Counters, logger *slog.Logger) *supervisor.Supervisor {
	return supervisor.New(counters, logger)
}

func newReporter(
	s platform.Settings, id bootID, b *bootstrapper.Bootstrapper, fleet *fleetidentifier.Fleet, tasks *supervisor.Supervisor,
	logger *slog.Logger,
) (*peerteller.Reporter, error) {
	reporter, err := peerteller.New(s.VM, s.Domain, uint64(id), peerAddress(s), tasks, logger,
		peerteller.WithNewPeer(b.AddPeer), peerteller.WithFleet(fleet))
	if err != nil {
		return nil, fmt.Errorf("start peer messages: %w", err)
	}
	return reporter, nil
}

func newBootstrapper(
	fleet *fleetidentifier.Fleet, budget *rationer.Rationer, tasks *supervisor.Supervisor, logger *slog.Logger,
) *bootstrapper.Bootstrapper {
	return bootstrapper.New(fleet.Transport(storeTransport()), fleet, tasks, logger, bootstrapper.WithMemory(budget))
}

// newSharer returns the sharer of the configuration.
func newSharer(
	store rowstore.Store, s platform.Settings, fleet *fleetidentifier.Fleet, counters *counter.Counters, logger *slog.Logger,
) *tablesharer.Sharer {
	sharer := tablesharer.New(store, platform.TableConfiguration, "", s.VM, fleet.Transport(storeTransport()), fleet, counters,
		logger)
	counters.Gauge("configuration_confirmed_age_seconds", func() float64 {
		if at := sharer.ConfirmedAt(); !at.IsZero() {
			return time.Since(at).Seconds()
		}
		return -1 // never
	})
	return sharer
}

func newPlacer(
	s platform.Settings, c *callbacks, finder *pathfinder.Finder, counters *counter.Counters,
) *placer.Placer {
	p := placer.New(s.VM, s.Domain, s.Regions, placer.WithOnChange(c.onWorkChange), placer.WithCutOff(finder.IsCutOff))
	counters.Gauge("upstreams_faulty", func() float64 { return float64(p.FaultyUpstreams(time.Now())) })
	return p
}

func newAnalyzer(c *callbacks) *crashanalyzer.Analyzer {
	return crashanalyzer.New(crashanalyzer.WithOnNews(c.onCrashNews))
}

func newVersionKeeper(
	s platform.Settings, store rowstore.Store, tasks *supervisor.Supervisor, logger *slog.Logger,
) *versionkeeper.Keeper {
	return versionkeeper.New(s.VM, store, tasks, logger)
}

const (
	// upstreamDialTimeout and peerDialTimeout bound the opening of connections.
	upstreamDialTimeout = 700 * time.Millisecond
	peerDialTimeout     = 300 * time.Millisecond
)

func newFinder(
	fleet *fleetidentifier.Fleet, counters *counter.Counters, logger *slog.Logger,
) *pathfinder.Finder {
	return pathfinder.New(socketdialer.New(upstreamDialTimeout).DialContext, socketdialer.New(peerDialTimeout).DialContext,
		counters, logger, pathfinder.WithPeerHeader(fleet.Header))
}

func newCarrier(
	finder *pathfinder.Finder, budget *rationer.Rationer, counters *counter.Counters, logger *slog.Logger,
) *tunneler.Carrier {
	carrier := tunneler.NewCarrier(finder, budget, counters, logger)
	counters.Gauge("tunnels", func() float64 { return float64(carrier.Tunnels()) })
	return carrier
}

func newForwarder(codec platform.Codec, finder *pathfinder.Finder, budget *rationer.Rationer) *forwarder.Forwarder {
	f := forwarder.New(codec.AnswerID, forwarder.WithDial(finder.Dial), forwarder.WithOnQuiet(finder.Suspect),
		forwarder.WithMemory(budget))
	finder.SetOnChange(f.CloseIdle)
	return f
}

func newRelayer(
	s platform.Settings, fleet *fleetidentifier.Fleet, counters *counter.Counters, logger *slog.Logger,
) *storerelayer.Relayer {
	return storerelayer.New(s.StoreAddress, storeTransport(), fleet.Transport(storeTransport()), counters, logger)
}

func newCallCounter(counters *counter.Counters) *callcounter.Counter {
	return callcounter.New(counters)
}

func newStore(s platform.Settings, relayer *storerelayer.Relayer, calls *callcounter.Counter) *platform.Store {
	return platform.NewStore(storeURL(s), relayer, platform.WithCallObserver(calls),
		platform.WithResponseMemory(s.MemoryBytes/storeMemoryDivisor))
}

func storeURL(s platform.Settings) string { return "http://" + s.StoreAddress }

func newFleet(counters *counter.Counters, logger *slog.Logger) *fleetidentifier.Fleet {
	return fleetidentifier.NewFleet(counters, logger)
}

// newIdentifier returns an identifier that reads the store without the relayer, as a peer VM that relays
// could be of another fleet.
func newIdentifier(
	s platform.Settings, fleet *fleetidentifier.Fleet, c *callbacks, calls *callcounter.Counter, logger *slog.Logger,
) *fleetidentifier.Identifier {
	store := platform.NewStore(storeURL(s), storeTransport(), platform.WithCallObserver(calls))
	return fleetidentifier.NewIdentifier(store, fleet, c.onOtherFleet, logger)
}

func newMemberKeeper(
	store rowstore.Store, s platform.Settings, id bootID, c *callbacks, counters *counter.Counters, logger *slog.Logger,
) *memberkeeper.Keeper {
	self := memberkeeper.Member{VM: s.VM, IP: s.IP, Domain: s.Domain, Boot: uint64(id)}
	// In a large fleet, a VM hears those of its own domain directly.
	reports := func(vms int, m memberkeeper.Member) bool {
		return vms <= placer.MaxFullMeshVMs || m.Domain == s.Domain
	}
	members := memberkeeper.New(store, self, c.setPeers, logger, memberkeeper.WithReports(reports))
	counters.Gauge("vms_silent", func() float64 { return float64(members.Silent(time.Now())) })
	return members
}

func newOwner(s platform.Settings, id bootID) batchkeeper.Owner {
	return batchkeeper.Owner{VM: s.VM, Boot: uint64(id)}
}

func newJobKeeper(
	store rowstore.Store, owner batchkeeper.Owner, s platform.Settings, logger *slog.Logger,
) *batchkeeper.Keeper {
	return batchkeeper.New(store, owner, s.MaxRowBytes, logger)
}

func newRunner(
	s platform.Settings, owner batchkeeper.Owner, keeper *batchkeeper.Keeper, p *placer.Placer, sender *courier.Courier,
	members *memberkeeper.Keeper, c *callbacks, budget *rationer.Rationer, mover *jobmover.Mover,
	tasks *supervisor.Supervisor, counters *counter.Counters, logger *slog.Logger,
) *batchrunner.Runner {
	return batchrunner.New(owner, keeper, p, sender, members, c, budget, tasks, counters, logger,
		batchrunner.WithMover(mover), batchrunner.WithResultRetention(s.ResultRetention))
}

func newMover(fleet *fleetidentifier.Fleet, logger *slog.Logger) *jobmover.Mover {
	return jobmover.New(fleet.Transport(storeTransport()), logger)
}

func newSharedState(
	p *placer.Placer, crashes *crashanalyzer.Analyzer, runner *batchrunner.Runner, members *memberkeeper.Keeper, logger *slog.Logger,
) *sharedState {
	return &sharedState{
		placer: p, crashes: crashes, runner: runner, members: members, logger: logger, cancelled: map[string]time.Time{},
	}
}

func newCanceller(
	keeper *batchkeeper.Keeper, shared *sharedState, tasks *supervisor.Supervisor, counters *counter.Counters,
	logger *slog.Logger,
) *canceller.Canceller {
	c := canceller.New(keeper, tasks, shared.Cancelled, logger)
	counters.Gauge("cancellations_unconfirmed", func() float64 { return float64(c.Kept()) })
	return c
}

func newJobServer(
	codec platform.Codec, keeper *batchkeeper.Keeper, cancels *canceller.Canceller, shared *sharedState, c *callbacks,
	budget *rationer.Rationer, counters *counter.Counters, logger *slog.Logger,
) *batchserver.Server {
	return batchserver.New(codec, keeper, cancels, shared, c.limits, budget, counters, logger)
}

func newGateway(
	codec platform.Codec, sender *courier.Courier, p *placer.Placer, crashes *crashanalyzer.Analyzer,
	versions *versionkeeper.Keeper, jobs *batchserver.Server, budget *rationer.Rationer, counters *counter.Counters, logger *slog.Logger,
	s platform.Settings, c *callbacks, quotas *quotateller.Teller,
) *gateway.Gateway {
	g := gateway.New(codec, sender, p, crashes, versions, jobs, budget, counters, logger, gateway.WithQuotas(quotas),
		gateway.WithAuthenticator(authenticator.New(authenticator.WithMaxKeyAge(s.MaxKeyAge, c.configurationConfirmedAt))))
	counters.Gauge("slot_requests_waiting", func() float64 { return float64(g.Waiting()) })
	return g
}
