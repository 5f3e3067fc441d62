// Package assembler assembles and runs an entry VM.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/controller"
	"github.com/fescuespindle/fescuespindle/internal/control/messenger"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/faces/operator"
	"github.com/fescuespindle/fescuespindle/internal/faces/server"
	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/pathfinder"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headbounder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/processmeter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/spooler"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// Listeners are the TCP listeners of a VM.
type Listeners struct {
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
}

// Listen opens listeners at the addresses in the settings. If it returns an error, the
// listeners that it opened before stay open.
func Listen(settings settingsloader.Settings) (Listeners, error) {
	var l Listeners
	var err error
	if l.Caller, err = net.Listen("tcp", settings.CallerAddress); err != nil {
		return l, fmt.Errorf("listen for callers: %w", err)
	}
	if l.Operator, err = net.Listen("tcp", settings.OperatorAddress); err != nil {
		return l, fmt.Errorf("listen for operators: %w", err)
	}
	if l.Peer, err = net.Listen("tcp", settings.PeerAddress); err != nil {
		return l, fmt.Errorf("listen for peers: %w", err)
	}
	return l, nil
}

const (
	// maxInnerHeaderBytes bounds the header of a request of another VM or of an operator, and maxHeaderBytes that of
	// a caller's.
	maxInnerHeaderBytes = 16 << 10
	maxHeaderBytes      = 64 << 10
	// bodyTimeout bounds the time for a body whose handler sets no other deadline.
	bodyTimeout = 10 * time.Second
	// answerMemoryBytes is the memory for answers that callers read slowly.
	answerMemoryBytes = 32 << 20
	// peerConnectionDivisor and operatorConnectionDivisor are the ratios of the connections that the callers'
	// listener accepts to those of the other ones.
	peerConnectionDivisor     = 2
	operatorConnectionDivisor = 8
)

// taskGroup starts goroutines in the group of a VM.
type taskGroup struct{ group *sync.WaitGroup }

// Go implements spooler.Tasks.
func (t taskGroup) Go(_ string, task func()) { t.group.Go(task) }

// VM is one entry VM.
type VM struct {
	settings   settingsloader.Settings
	logger     *slog.Logger
	listeners  Listeners
	store      *storekeeper.Keeper
	messenger  *messenger.Messenger
	controller *controller.Controller
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Dispatcher
	claimer    *claimer.Claimer
	relayer    *relayer.Relayer
	finder     *pathfinder.Finder
	carrier    *tunneler.Carrier

	authenticator *messenger.Authenticator
	counters      *counter.Counters

	server   *server.Server
	operator *operator.Operator

	group    sync.WaitGroup
	servers  []*http.Server
	bounder  *headbounder.Bounder
	spooler  *spooler.Spooler
	draining atomic.Bool // the callers' listener is closed
	stop     context.CancelFunc
}

// Publisher returns the publisher of the VM's view of the fleet.
func (vm *VM) Publisher() *publisher.Publisher { return vm.publisher }

// Controller returns the controller, which owns the VM's control state.
func (vm *VM) Controller() *controller.Controller { return vm.controller }

// Start starts the VM's goroutines and serves on its listeners.
func (vm *VM) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	vm.stop = cancel
	vm.spooler = spooler.New(rationer.New(answerMemoryBytes), taskGroup{&vm.group}, vm.counters, vm.logger)
	vm.bounder = headbounder.New(rationer.New(headbounder.HeadMemory(processmeter.MemoryLimit())), vm.counters)
	vm.group.Go(func() { _ = vm.store.Run(ctx) }) // ends with the context
	vm.group.Go(func() { vm.finder.Run(ctx) })
	vm.controller.Start()
	maxConnections := headbounder.MaxConnections(processmeter.MemoryLimit(), processmeter.MaxDescriptors())
	vm.serve(vm.listeners.Peer, &http.Server{Handler: vm.peerHandler(), ReadHeaderTimeout: time.Second},
		maxConnections/peerConnectionDivisor, maxInnerHeaderBytes)
	vm.serve(vm.listeners.Operator, vm.operator.HTTP(), maxConnections/operatorConnectionDivisor, maxInnerHeaderBytes)
	vm.serve(vm.spooler.Wrap(vm.listeners.Caller), vm.server.HTTP(), maxConnections, maxHeaderBytes)
	vm.logger.Info("serving", "vm", vm.settings.VM, "callers", vm.listeners.Caller.Addr().String())
}

// peerHandler returns the handler of the peer listener.
func (vm *VM) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, vm.messenger)
	mux.Handle("GET "+tunneler.Path, vm.carrier)
	return vm.authenticator.Require(vm.counters, mux)
}

// serve serves on a listener until the server is closed.
func (vm *VM) serve(listener net.Listener, s *http.Server, maxConnections, maxHeadBytes int) {
	bounded := vm.bounder.Wrap(listener, maxConnections, func() int { return maxHeadBytes })
	bounded.Attach(s, bodyTimeout)
	s.ErrorLog = slog.NewLogLogger(vm.logger.Handler(), slog.LevelDebug)
	vm.servers = append(vm.servers, s)
	vm.group.Go(func() {
		err := s.Serve(bounded)
		isIntended := errors.Is(err, http.ErrServerClosed) || (errors.Is(err, net.ErrClosed) && vm.draining.Load())
		if !isIntended {
			vm.logger.Error("listener failed", "error", err)
		}
	})
}

// Shutdown drains and stops the VM. It becomes not ready, waits while the balancer may still
// send requests, releases batch work, and lets online requests finish. It returns an error
// if that fails or takes longer than the drain timeout of the settings.
func (vm *VM) Shutdown(ctx context.Context) error {
	vm.logger.Info("draining", "vm", vm.settings.VM)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(vm.settings.DrainTimeout))
	defer cancel()
	vm.operator.SetDraining()
	now := time.Now()
	vm.server.SetDraining(drainer.NewPlan(
		now.Add(time.Duration(vm.settings.BalancerLag)), now.Add(time.Duration(vm.settings.DrainTimeout))))
	vm.carrier.Drain()
	drained := make(chan error, 1)
	vm.group.Go(func() { drained <- vm.controller.DrainBatch(ctx) })
	sleeper.Sleep(ctx, time.Duration(vm.settings.BalancerLag))
	vm.draining.Store(true)
	err := errors.Join(vm.server.Drain(ctx, vm.listeners.Caller), <-drained)
	vm.spooler.Flush(ctx)
	vm.dispatcher.Wait()
	vm.claimer.Wait()
	vm.carrier.Wait(ctx)
	vm.Close()
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	vm.logger.Info("drained", "vm", vm.settings.VM)
	return nil
}

// Close stops the VM at once and aborts running requests, as a crash would.
func (vm *VM) Close() {
	for _, s := range vm.servers {
		_ = s.Close() // fails for listeners that are already closed
	}
	vm.controller.Stop()
	vm.messenger.Close()
	vm.stop()
	vm.group.Wait()
	vm.relayer.CloseIdle()
	vm.finder.Close()
}
