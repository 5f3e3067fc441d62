// Package entryvm puts the parts of an entry VM on the users' platform together
// and runs them.
package entryvm

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/control/bootstrapper"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/control/registrar"
	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storerelayer"
	"github.com/fescuespindle/fescuespindle/platform"
)

// metricsPort serves counters and histograms; the deploy file names it too.
const metricsPort = 9464

const (
	// readHeaderTime bounds the head of a caller's request, and idleTime is how
	// long a caller's connection may be idle. Both are longer than any that
	// callers use; the body's time follows the configuration.
	readHeaderTime = 10 * time.Second
	idleTime       = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// VM is one entry VM.
type VM struct {
	settings  platform.Settings
	boot      boot
	logger    *slog.Logger
	counter   *counter.Counters
	relayer   *storerelayer.Relayer
	store     rowstore.Store
	forwarder *forwarder.Forwarder
	placer    *placer.Placer
	teller    *peerteller.Reporter
	members   *memberkeeper.Keeper
	gateway   *gateway.Gateway

	bootstrapper *bootstrapper.Bootstrapper
	mover        *jobmover.Mover

	keeper *batchkeeper.Keeper
	runner *batchrunner.Runner
	shared *sharedState
	circle *circle

	vms       atomic.Int32 // that live, this one among them
	readiness readiness
	tasks     *supervisor.Supervisor
	servers   []*http.Server
	callers   *http.Server
	stop      context.CancelFunc
}

// New returns a VM that has not started.
func New(settings platform.Settings, logger *slog.Logger) (*VM, error) {
	vm, err := assemble(settings, logger)
	if err != nil {
		return nil, err
	}
	vm.circle.vm = vm
	vm.mover.SetReceiver(vm.runner)
	vm.teller.SetState(vm.shared)
	return vm, nil
}

// setPeers tells those parts of the other VMs that speak to them.
func (vm *VM) setPeers(members []memberkeeper.Member) {
	peers := make([]peerteller.Peer, 0, len(members))
	addresses := make(map[string]string, len(members))
	var near, far []string
	for _, m := range members {
		address, err := netip.ParseAddr(m.IP)
		if err != nil {
			vm.logger.Warn("VM without an address", "vm", m.VM, "error", err)
			continue
		}
		peer := peerteller.Peer{
			VM: m.VM, Address: netip.AddrPortFrom(address, uint16(vm.settings.PeerPort)),
			Domain: m.Domain, Far: vm.settings.Regions[m.Domain] != vm.settings.Region,
		}
		peers = append(peers, peer)
		addresses[m.VM] = peer.Address.String()
		if peer.Far {
			far = append(far, peer.Address.String())
		} else {
			near = append(near, peer.Address.String())
		}
	}
	vms := map[string][]string{vm.settings.Domain: {vm.settings.VM}}
	for _, m := range members {
		vms[m.Domain] = append(vms[m.Domain], m.VM)
	}
	vm.placer.SetVMs(vms)
	vm.relayer.SetPeers(near, far)
	vm.teller.SetPeers(peers)
	vm.mover.SetPeers(addresses)
	vm.keeper.SetVMCount(len(peers) + 1)
	vm.vms.Store(int32(len(peers) + 1))
	vm.limitIdle()
}

const (
	// idleShare is the part of the connections that an upstream takes which all VMs
	// together may keep idle.
	idleShare = 0.6
	// maxIdle bounds the connections that one VM keeps to one upstream.
	maxIdle = 16
)

// limitIdle shares out the connections that upstreams take among the VMs.
func (vm *VM) limitIdle() {
	table := vm.gateway.Table()
	vms := vm.vms.Load()
	if table == nil || vms == 0 {
		return
	}
	limit := maxIdle
	for _, s := range table.Services() {
		if s.MaxConnections > 0 {
			limit = min(limit, int(idleShare*float64(s.MaxConnections)/float64(vms)))
		}
	}
	vm.forwarder.SetIdleLimit(max(limit, 1))
}

// Start starts serving.
func (vm *VM) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	vm.stop = cancel
	vm.callers = &http.Server{
		Handler: vm.gateway, ReadHeaderTimeout: readHeaderTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes,
	}
	watchers := []*watcher.Watcher{
		vm.follow(memberkeeper.Table, memberkeeper.Part, vm.members,
			watcher.WithWait(memberWait), watcher.WithPause(memberPause)),
		vm.follow(platform.TableConfiguration, "", &configurationSink{vm: vm}, watcher.WithReread(vm.rereadTime)),
		vm.follow(platform.TableUpstreams, "", &upstreamSink{vm: vm, registrar: registrar.New()},
			watcher.WithReread(vm.rereadTime)),
	}
	if err := errors.Join(
		vm.serve(vm.settings.CallerAddress, vm.callers),
		vm.serve(vm.settings.ReadyAddress, &http.Server{Handler: &vm.readiness, ReadHeaderTimeout: readHeaderTime}),
		vm.serve(peerAddress(vm.settings), &http.Server{Handler: vm.peerHandler(), ReadHeaderTimeout: readHeaderTime}),
		vm.serve(net.JoinHostPort(vm.settings.IP, strconv.Itoa(metricsPort)), vm.metricsServer()),
	); err != nil {
		return err
	}
	vm.setPeers(nil)
	vm.runner.Start()
	vm.tasks.GoWithRestart(ctx, "peer messages", vm.teller.Run)
	vm.tasks.GoWithRestart(ctx, "membership", vm.members.Run)
	vm.tasks.GoWithRestart(ctx, "lost VMs", vm.members.Sweep)
	vm.tasks.GoWithRestart(ctx, "questions to neighbours", vm.bootstrapper.Run)
	for _, w := range watchers {
		vm.tasks.GoWithRestart(ctx, "watcher of "+w.Table(), w.Run)
	}
	vm.logger.Info("started", "vm", vm.settings.VM, "boot", vm.boot, "domain", vm.settings.Domain)
	return nil
}

const (
	// rereadTime is the time between two reads of whole tables, which bounds how long
	// a feed that has gone silent does harm, in a fleet of up to rereadFleet VMs; in
	// larger ones it grows with them.
	rereadTime  = 8 * time.Second
	rereadFleet = placer.MaxFullMeshVMs
)

const (
	// feedTimeout bounds a call for changes beyond the time that the store holds it.
	// A long configuration goes to all VMs of a region over one link, which takes
	// largeFeedTimeout at most in a fleet of more than rereadFleet VMs.
	feedTimeout      = 1200 * time.Millisecond
	largeFeedTimeout = 5 * time.Second
)

func (vm *VM) feedTimeout() time.Duration {
	if vm.vms.Load() > rereadFleet {
		return largeFeedTimeout
	}
	return feedTimeout
}

func (vm *VM) rereadTime() time.Duration {
	return rereadTime * time.Duration(max(vm.vms.Load(), rereadFleet)) / rereadFleet
}

const (
	// memberWait is how long the store holds a request for changes of the VM list,
	// which may be a little old, and memberPause the time between two of them: some
	// VM's row changes all the time.
	memberWait  = 6 * time.Second
	memberPause = 2 * time.Second
)

// follow returns the watcher of a table, of which neighbours may ask.
func (vm *VM) follow(table, part string, sink watcher.Sink, options ...watcher.Option) *watcher.Watcher {
	options = append(options, watcher.WithTimeout(vm.feedTimeout), watcher.WithGuard(vm.tasks))
	w := watcher.New(vm.store, table, part, sink, vm.logger, options...)
	vm.bootstrapper.AddTable(table, w)
	return w
}

// peerHandler answers other VMs.
func (vm *VM) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+bootstrapper.Path, vm.bootstrapper)
	mux.Handle("POST "+jobmover.Path, vm.mover)
	mux.Handle("/", vm.relayer)
	return mux
}

func (vm *VM) serve(address string, s *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.ErrorLog = slog.NewLogLogger(vm.logger.Handler(), slog.LevelDebug)
	vm.servers = append(vm.servers, s)
	vm.tasks.Go("listener", func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			vm.logger.Error("listener failed", "address", address, "error", err)
		}
	})
	return nil
}

func (vm *VM) metricsServer() *http.Server {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { vm.counter.Set().WritePrometheus(w) })
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTime}
}

const (
	// balancerTime is how long the balancer may still send new connections after
	// the VM has said that it is not ready: two of its questions and a bit.
	balancerTime = 3200 * time.Millisecond
	// graceMargin is left of the grace period when the last requests are cut.
	graceMargin = 500 * time.Millisecond
)

// Shutdown ends the VM without cutting a request that can end in time.
func (vm *VM) Shutdown() {
	began := time.Now()
	vm.logger.Info("stopping", "vm", vm.settings.VM)
	vm.readiness.leaving.Store(true)
	vm.gateway.SetDraining()
	vm.members.SetLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(vm.settings.GracePeriod-graceMargin))
	defer cancel()
	vm.tasks.Go("release of jobs", func() { vm.runner.Release(ctx) })
	time.Sleep(balancerTime)
	if err := vm.callers.Shutdown(ctx); err != nil {
		vm.logger.Warn("requests cut at the end of the grace period", "error", err)
	}
	vm.runner.Stop()
	vm.stop()
	for _, s := range vm.servers {
		if err := s.Close(); err != nil {
			vm.logger.Warn("close listener", "error", err)
		}
	}
	vm.forwarder.Close()
	vm.tasks.Wait()
	vm.logger.Info("stopped", "vm", vm.settings.VM, "took", time.Since(began))
}
