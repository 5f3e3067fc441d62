// Package entryvm assembles and runs an entry VM on the users' platform.
package entryvm

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
	"github.com/fescuespindle/fescuespindle/internal/batch/canceller"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/control/bootstrapper"
	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/control/quotateller"
	"github.com/fescuespindle/fescuespindle/internal/control/registrar"
	"github.com/fescuespindle/fescuespindle/internal/control/tablesharer"
	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/pathfinder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/online/versionkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headbounder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/spooler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storerelayer"
	"github.com/fescuespindle/fescuespindle/platform"
)

// metricsPort is the port of the metrics endpoint. The deployment file refers to it too.
const metricsPort = 9464

const (
	// readHeaderTimeout bounds reading the header of a caller's request, and idleTimeout
	// is how long a caller's connection may be idle. Both are longer than the timeouts of
	// callers; the time for a body comes from the configuration.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes bounds the header of a caller's request unless the configuration does.
	maxHeaderBytes = 64 << 10
	// maxInnerHeaderBytes bounds the headers of requests that come from no caller: of other VMs, of the
	// balancer and for metrics.
	maxInnerHeaderBytes = 16 << 10
)

const (
	// bodyTimeout bounds the time for a body whose handler sets no other deadline.
	bodyTimeout = 10 * time.Second
	// peerConnectionDivisor and innerConnectionDivisor are the ratios of the connections that the callers'
	// listener accepts to those of the listener for peer VMs and of the other ones.
	peerConnectionDivisor  = 2
	innerConnectionDivisor = 8
)

// VM is one entry VM.
type VM struct {
	settings     platform.Settings
	bootID       bootID
	logger       *slog.Logger
	counter      *counter.Counters
	relayer      *storerelayer.Relayer
	store        rowstore.Store
	finder       *pathfinder.Finder
	carrier      *tunneler.Carrier
	forwarder    *forwarder.Forwarder
	placer       *placer.Placer
	crashes      *crashanalyzer.Analyzer
	versions     *versionkeeper.Keeper
	reporter     *peerteller.Reporter
	memberKeeper *memberkeeper.Keeper
	gateway      *gateway.Gateway

	bootstrapper  *bootstrapper.Bootstrapper
	sharer        *tablesharer.Sharer // of the configuration
	configuration *watcher.Watcher
	mover         *jobmover.Mover
	fleet         *fleetidentifier.Fleet
	identifier    *fleetidentifier.Identifier
	quotas        *quotateller.Teller

	jobKeeper *batchkeeper.Keeper
	runner    *batchrunner.Runner
	cancels   *canceller.Canceller
	shared    *sharedState
	callbacks *callbacks

	vmCount     atomic.Int32 // live VMs, including this one
	readiness   readiness
	tasks       *supervisor.Supervisor
	servers     []*http.Server
	callerConns *drainer.Conns
	bounder     *headbounder.Bounder
	spooler     *spooler.Spooler
	// callerListener accepts callers' connections until callersDraining is set.
	callerListener  net.Listener
	callersDraining atomic.Bool
	stop            context.CancelFunc
	failed          chan error // holds the reason once the process must end
}

// New returns a VM that has not started.
func New(settings platform.Settings, logger *slog.Logger) (*VM, error) {
	vm, err := assemble(settings, logger)
	if err != nil {
		return nil, err
	}
	vm.callbacks.vm, vm.failed = vm, make(chan error, 1)
	vm.mover.SetReceiver(vm.runner)
	vm.reporter.SetState(vm.shared)
	return vm, nil
}

// Start opens the VM's listeners and starts its tasks. It returns an error if an address
// can't be listened on.
func (vm *VM) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	vm.stop = cancel
	vm.callerConns = drainer.NewConns()
	callerServer := &http.Server{
		Handler: vm.gateway, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ConnState: vm.callerConns.Observe,
	}
	maxConnections := headbounder.MaxConnections(vm.settings.MemoryBytes, vm.settings.MaxDescriptors)
	var err error
	if vm.callerListener, err = net.Listen("tcp", vm.settings.CallerAddress); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	vm.configuration = vm.newWatcher(vm.sharer, platform.TableConfiguration, "", &configurationSink{vm: vm},
		watcher.WithReread(vm.rereadInterval), watcher.WithRereadRate(vm.shareOf(maxConfigurationRereadRate)),
		watcher.WithNewer(vm.runner.AwaitsConfiguration), watcher.WithResume())
	vm.shared.configuration = vm.configuration
	vm.sharer.SetNewer(vm.configuration.KnowsOfNewer)
	watchers := []*watcher.Watcher{
		vm.newWatcher(vm.store, memberkeeper.Table, memberkeeper.Part, vm.memberKeeper,
			watcher.WithWait(memberWait), watcher.WithPause(memberPause), watcher.WithCopyInstead()),
		vm.configuration,
		vm.newWatcher(vm.store, platform.TableUpstreams, "", &upstreamSink{vm: vm, registrar: registrar.New()},
			watcher.WithReread(vm.rereadInterval), watcher.WithCopyInstead()),
		vm.newWatcher(vm.store, versionkeeper.TableVersions, versionkeeper.PartVersions, vm.versions,
			watcher.WithReread(vm.rereadInterval)),
	}
	if err := errors.Join(
		vm.serve(vm.settings.ReadyAddress, innerServer(&vm.readiness), maxConnections/innerConnectionDivisor),
		vm.serve(peerAddress(vm.settings), innerServer(vm.peerHandler()), maxConnections/peerConnectionDivisor),
		vm.serve(net.JoinHostPort(vm.settings.IP, strconv.Itoa(metricsPort)), vm.metricsServer(),
			maxConnections/innerConnectionDivisor),
	); err != nil {
		return err
	}
	vm.serveListener(vm.spooler.Wrap(vm.callerListener), callerServer, maxConnections, vm.maxCallerHeadBytes)
	vm.setPeers(nil)
	vm.runner.Start()
	vm.tasks.GoWithRestart(ctx, "identity of the fleet", vm.identifier.Run)
	vm.tasks.GoWithRestart(ctx, "peer messages", vm.reporter.Run)
	vm.tasks.GoWithRestart(ctx, "quotas", vm.quotas.Run)
	vm.tasks.GoWithRestart(ctx, "checks of links", vm.finder.Run)
	vm.tasks.GoWithRestart(ctx, "membership", vm.memberKeeper.Run)
	vm.tasks.GoWithRestart(ctx, "lost VMs", vm.memberKeeper.Sweep)
	vm.tasks.GoWithRestart(ctx, "versions of streams", vm.versions.Run)
	vm.tasks.GoWithRestart(ctx, "records of streams", vm.versions.Sweep)
	vm.tasks.GoWithRestart(ctx, "questions to neighbours", vm.bootstrapper.Run)
	for _, w := range watchers {
		vm.tasks.GoWithRestart(ctx, "watcher of "+w.Table(), w.Run)
	}
	vm.logger.Info("started", "vm", vm.settings.VM, "boot", vm.bootID, "domain", vm.settings.Domain)
	return nil
}

const (
	// rereadInterval is the time between two reads of a whole table in a fleet of up to
	// smallFleetVMs VMs; in a larger fleet it grows in proportion to the number of VMs. It
	// bounds how long a stalled feed of changes leaves a VM with outdated data.
	rereadInterval = 8 * time.Second
	smallFleetVMs  = placer.MaxFullMeshVMs
	// maxRereadRate is how many bytes per second all VMs together may read again of one table.
	// Of the configuration it is less, as VMs learn from each other of a newer one.
	maxRereadRate              = 500_000
	maxConfigurationRereadRate = 150_000
)

// answerTimeout is how long the answer to a read of a table may take to begin, beyond the time that
// the store holds the call, or to go on: answers to all VMs of a region may wait at one link.
const answerTimeout = 5 * time.Second

func (vm *VM) rereadInterval() time.Duration {
	return rereadInterval * time.Duration(max(vm.vmCount.Load(), smallFleetVMs)) / smallFleetVMs
}

// shareOf returns a function that returns this VM's share of a rate of all VMs.
func (vm *VM) shareOf(rate int) func() int {
	return func() int { return rate / int(max(vm.vmCount.Load(), 1)) }
}

const (
	// memberWait is how long the store holds a request for changes of the VM list, and
	// memberPause the time between two such requests. Some row of that table changes all
	// the time, and the list may be slightly outdated.
	memberWait  = 6 * time.Second
	memberPause = 2 * time.Second
)

// newWatcher returns the watcher of a table, which reads it through a store. It also registers the watcher
// with the bootstrapper, which exchanges copies of tables with peer VMs.
func (vm *VM) newWatcher(
	store rowstore.Store, table, part string, sink watcher.Sink, options ...watcher.Option,
) *watcher.Watcher {
	options = append([]watcher.Option{
		watcher.WithTimeout(answerTimeout), watcher.WithRereadRate(vm.shareOf(maxRereadRate)), watcher.WithGuard(vm.tasks),
	}, options...)
	w := watcher.New(store, table, part, sink, vm.logger, options...)
	vm.bootstrapper.AddTable(table, w)
	return w
}

// peerHandler returns the handler of requests from other VMs: for copies of tables, the newest configuration, jobs to
// take over, connections to carry to upstreams, and calls to relay to the store. It rejects those of VMs
// of another fleet.
func (vm *VM) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+bootstrapper.Path, vm.fleet.RequireKnown(vm.bootstrapper))
	mux.Handle("GET "+vm.sharer.Path(), vm.fleet.RequireKnown(vm.sharer))
	mux.Handle("POST "+jobmover.Path, vm.fleet.RequireKnown(vm.mover))
	mux.Handle("GET "+tunneler.Path, vm.carrier) // also tells that an upstream has crashed, from the first second on
	mux.Handle("/", vm.fleet.RequireKnown(vm.relayer))
	return vm.fleet.Handler(mux)
}

// fail has the process end with an error, at once: it must not hand over jobs or serve on.
func (vm *VM) fail(reason error) {
	select {
	case vm.failed <- reason:
	default: // there is a reason already
	}
}

// Failed returns a channel that has the reason once the process must end.
func (vm *VM) Failed() <-chan error { return vm.failed }

// maxCallerHeadBytes returns the limit of the head of a caller's request.
func (vm *VM) maxCallerHeadBytes() int {
	if limit := vm.callbacks.limits().MaxHeaderBytes; limit > 0 {
		return limit
	}
	return maxHeaderBytes
}

// serve listens on an address and serves requests that come from no caller, until the server is closed.
func (vm *VM) serve(address string, s *http.Server, maxConnections int) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	vm.serveListener(listener, s, maxConnections, func() int { return maxInnerHeaderBytes })
	return nil
}

// serveListener serves on a listener until it or the server is closed.
func (vm *VM) serveListener(listener net.Listener, s *http.Server, maxConnections int, maxHeadBytes func() int) {
	bounded := vm.bounder.Wrap(listener, maxConnections, maxHeadBytes)
	bounded.Attach(s, bodyTimeout)
	s.ErrorLog = slog.NewLogLogger(vm.logger.Handler(), slog.LevelDebug)
	vm.servers = append(vm.servers, s)
	vm.tasks.Go("listener", func() {
		err := s.Serve(bounded)
		isIntended := errors.Is(err, http.ErrServerClosed) || (errors.Is(err, net.ErrClosed) && vm.callersDraining.Load())
		if !isIntended {
			vm.logger.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	})
}

// metricsServer returns a server that answers each request with the metrics in Prometheus
// text format.
func (vm *VM) metricsServer() *http.Server {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { vm.counter.Set().WritePrometheus(w) })
	return innerServer(handler)
}

// innerServer returns a server of requests that come from no caller.
func innerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}
