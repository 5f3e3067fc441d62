// Package sitebuilder runs a complete site in one process, on loopback: stand-ins
// for the platform, engines and services, and entry VMs that run the production
// code. The demo, the experiments and tests use it.
package sitebuilder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/configkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/serviceemulator"
	"github.com/fescuespindle/fescuespindle/internal/wiring/assembler"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// PeerSecret authenticates the VMs of every site to each other.
const PeerSecret = "a secret for sites on loopback"

// Domain is one failure domain of a site.
type Domain struct {
	Region string
	Name   string
	VMs    int
	// Engines and Services are the numbers of engines and of services.
	Engines  int
	Services int
}

// Spec describes a site.
type Spec struct {
	Document   deployer.Document
	EnginePool string
	Model      string
	Service    string
	Domains    []Domain
	Seed       uint64
	// EngineOptions apply to every engine.
	EngineOptions []engineemulator.Option
	// VMOptions apply to every entry VM.
	VMOptions []dispatcher.Option
	// Delay returns the one-way delay between two failure domains; nil means
	// none.
	Delay func(from, to string) time.Duration
	// EngineOption returns an additional option for the engine with an ID; nil means
	// none.
	EngineOption func(id string) engineemulator.Option
	Logger       *slog.Logger
}

// Engine is an engine stand-in with its HTTP server.
type Engine struct {
	*engineemulator.Engine
	ID     string
	Domain string
	server *httpServer
}

// Service is a service stand-in with its HTTP server.
type Service struct {
	*serviceemulator.Service
	ID     string
	server *httpServer
}

// VM is an entry VM with its settings and its entry in the VM list.
type VM struct {
	*assembler.VM
	ID        string
	Domain    string
	Region    string
	settings  settingsloader.Settings
	listEntry vmlister.VM
}

// URL returns the base URL for callers.
func (vm *VM) URL() string { return "http://" + vm.settings.CallerAddress }

// OperatorURL returns the base URL for operators.
func (vm *VM) OperatorURL() string { return "http://" + vm.settings.OperatorAddress }

// Site is a running site.
type Site struct {
	spec     Spec
	Store    *rowemulator.Store
	Engines  []*Engine
	Services []*Service
	VMs      []*VM

	storeServer *standin.Store // serves Store
	platform    *httpServer
	client      *http.Client
	group       sync.WaitGroup
	ctx         context.Context //nolint:containedctx // canceled by Close
	cancel      context.CancelFunc
	lastProcess atomic.Uint64
	links       *linkTable
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func (s *httpServer) address() string { return s.listener.Addr().String() }

// New starts a site, without a configuration.
func New(spec Spec) (*Site, error) {
	if spec.Logger == nil {
		spec.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	s := &Site{spec: spec, Store: rowemulator.New(rowemulator.WithRateLimits(rowemulator.SmallSiteRateLimits))}
	s.storeServer = standin.NewStore(s.Store)
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	s.links = newLinkTable(spec.Delay)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.lastProcess.Store(uint64(time.Now().UnixMilli()))
	var err error
	if s.platform, err = s.listen(s.storeServer); err != nil {
		return nil, err
	}
	if len(spec.Domains) > 0 {
		s.links.add(s.platform.address(), spec.Domains[0].Name)
	}
	for _, d := range spec.Domains {
		if err := s.addDomain(d); err != nil {
			s.Close()
			return nil, err
		}
	}
	s.WriteVMList()
	for _, vm := range s.VMs {
		vm.Start()
	}
	return s, nil
}

func (s *Site) listen(handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	out := &httpServer{listener: listener, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second,
		ErrorLog: slog.NewLogLogger(s.spec.Logger.Handler(), slog.LevelDebug),
	}}
	s.group.Go(func() { _ = out.server.Serve(listener) }) // returns when the server is closed
	return out, nil
}

func (s *Site) addDomain(d Domain) error {
	for n := range d.Engines {
		if err := s.addEngine(d, fmt.Sprintf("%s-engine-%d", d.Name, n)); err != nil {
			return err
		}
	}
	for n := range d.Services {
		service := &Service{Service: serviceemulator.New(s.spec.Service), ID: fmt.Sprintf("%s-service-%d", d.Name, n)}
		var err error
		if service.server, err = s.listen(service); err != nil {
			return err
		}
		s.links.add(service.server.address(), d.Name)
		s.Services = append(s.Services, service)
	}
	for n := range d.VMs {
		vm, err := s.newVM(fmt.Sprintf("%s-entry-%d", d.Name, n), d)
		if err != nil {
			return err
		}
		s.VMs = append(s.VMs, vm)
	}
	return nil
}

func (s *Site) addEngine(d Domain, id string) error {
	options := append([]engineemulator.Option{
		engineemulator.WithLoaded(upstream.LoadedModel{Name: s.spec.Model, Version: s.spec.version()}),
	}, s.spec.EngineOptions...)
	if s.spec.EngineOption != nil {
		options = append(options, s.spec.EngineOption(id))
	}
	engine := &Engine{Engine: engineemulator.New(options...), ID: id, Domain: d.Name}
	var err error
	if engine.server, err = s.listen(engine); err != nil {
		return err
	}
	s.links.add(engine.server.address(), d.Name)
	s.group.Go(func() { engine.Run(s.ctx) })
	s.Engines = append(s.Engines, engine)
	return nil
}

// version returns the model's version in the document, or "" if it isn't there.
func (spec Spec) version() string {
	for _, d := range spec.Document.Deployments {
		for _, m := range d.Models {
			if m.Name == spec.Model {
				return m.Version
			}
		}
	}
	return ""
}

func (s *Site) newVM(id string, d Domain) (*VM, error) {
	settings := settingsloader.Settings{
		VM: id, Region: d.Region, Domain: d.Name, PlatformURL: "http://" + s.platform.address(),
		CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		DrainTimeout: settingsloader.Duration(30 * time.Second),
	}
	listeners, err := assembler.Listen(settings)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", id, err)
	}
	settings.CallerAddress = listeners.Caller.Addr().String()
	settings.OperatorAddress = listeners.Operator.Addr().String()
	settings.PeerAddress = listeners.Peer.Addr().String()
	s.links.add(settings.PeerAddress, d.Name)
	dial := s.links.dialFrom(d.Name)
	dials := assembler.Dialers{Platform: dial, Upstream: s.links.unlessLost(id, dial), Peer: dial}
	process := assembler.ProcessNumber(s.lastProcess.Add(1))
	return &VM{
		VM: assembler.New(
			settings, listeners, assembler.PeerSecret(PeerSecret), process, dials, s.spec.Logger, s.spec.VMOptions,
		),
		ID: id, Domain: d.Name, Region: d.Region, settings: settings,
		listEntry: vmlister.VM{
			ID: id, Kind: vmlister.KindEntry, Region: d.Region, Domain: d.Name,
			Address: settings.CallerAddress, Peer: settings.PeerAddress,
		},
	}, nil
}

// Restart closes a VM and starts a new one with the same ID, a new process number
// and new addresses.
func (s *Site) Restart(at int) error {
	old := s.VMs[at]
	old.Close()
	vm, err := s.newVM(old.ID, Domain{Region: old.Region, Name: old.Domain})
	if err != nil {
		return err
	}
	s.VMs[at] = vm
	s.WriteVMList()
	vm.Start()
	return nil
}

// Stop closes a VM and returns it. The VM stays in the platform's VM list until
// the next call of WriteVMList.
func (s *Site) Stop(at int) *VM {
	vm := s.VMs[at]
	vm.Close()
	s.VMs = slices.Delete(slices.Clone(s.VMs), at, at+1)
	return vm
}

// WriteVMList writes the site's current VMs and upstreams to the platform's VM list.
func (s *Site) WriteVMList() {
	var list []vmlister.VM
	regions := map[string]string{}
	for _, d := range s.spec.Domains {
		regions[d.Name] = d.Region
	}
	for _, vm := range s.VMs {
		list = append(list, vm.listEntry)
	}
	for _, e := range s.Engines {
		list = append(list, vmlister.VM{
			ID: e.ID, Kind: vmlister.KindUpstream, Pool: s.spec.EnginePool, Region: regions[e.Domain], Domain: e.Domain,
			Address: e.server.address(),
		})
	}
	at := 0
	for _, d := range s.spec.Domains {
		for range d.Services {
			list = append(list, vmlister.VM{
				ID: s.Services[at].ID, Kind: vmlister.KindUpstream, Pool: s.spec.Service, Region: d.Region, Domain: d.Name,
				Address: s.Services[at].server.address(),
			})
			at++
		}
	}
	if err := vmlister.Write(s.ctx, s.Store, list); err != nil {
		s.spec.Logger.Error("cannot write the VM list", "error", err)
	}
}

// Apply applies a document as the next version and waits until every VM uses it.
func (s *Site) Apply(ctx context.Context, doc deployer.Document) (configkeeper.Entry, error) {
	entry, err := ApplyDocument(ctx, "http://"+s.platform.address(), doc)
	if err != nil {
		return entry, err
	}
	return entry, s.WaitVersion(ctx, entry.Version)
}

// WaitVersion waits until every VM uses the version or a later one. It returns an
// error if the context ends first.
func (s *Site) WaitVersion(ctx context.Context, version uint64) error {
	for _, vm := range s.VMs {
		for vm.Publisher().View().Config().Version() < version {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("wait for version %d at %s: %w", version, vm.ID, err)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// WaitReady waits until every VM is ready and knows all engines of the site. It
// returns an error if the context ends first.
func (s *Site) WaitReady(ctx context.Context) error {
	for _, vm := range s.VMs {
		for !s.ready(vm) {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("wait for %s: %w", vm.ID, err)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (s *Site) ready(vm *VM) bool {
	view := vm.Publisher().View()
	target, found := view.Target(s.spec.Model)
	if ok, _ := view.Ready(); !ok || !found {
		return false
	}
	known := 0
	for range target.Pool().All {
		known++
	}
	return known >= len(s.Engines)
}

// Requester returns a client of a VM that sends a bearer token.
func (s *Site) Requester(vm *VM, token string) *requester.Requester {
	return requester.New(vm.URL(), token, s.client)
}

// StoreBytes returns the bytes transferred between the VMs and the store.
func (s *Site) StoreBytes() uint64 { return s.storeServer.Bytes() }

// PlatformURL returns the platform's base URL.
func (s *Site) PlatformURL() string { return "http://" + s.platform.address() }

// EngineURL returns the engine's base URL.
func (e *Engine) EngineURL() string { return "http://" + e.server.address() }

// Close stops the site and waits until its goroutines have ended.
func (s *Site) Close() {
	var group sync.WaitGroup
	for _, vm := range s.VMs {
		group.Go(vm.Close)
	}
	group.Wait()
	s.cancel()
	for _, e := range s.Engines {
		_ = e.server.server.Close()
	}
	for _, service := range s.Services {
		_ = service.server.server.Close()
	}
	_ = s.platform.server.Close()
	s.group.Wait()
	s.client.CloseIdleConnections()
}
