// Package site starts entry VMs as separate processes against stand-ins of the platform's store, of
// model servers and of callers, all on loopback addresses.
package site

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/standins/interrupter"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// program is the program of the deploy file, relative to the root of the repository.
const program = "target/fescuespindle-entry"

const (
	// storeDelay is how long the store takes for a call.
	storeDelay = 4 * time.Millisecond
	// startTimeout bounds the start of a VM.
	startTimeout = 15 * time.Second
)

// Zone is the failure domain of all VMs and servers of a small site.
const Zone = "nottingham"

// Size is the size of a site.
type Size struct {
	settings []byte
	limits   rowemulator.RateLimits
}

// Small is a site of one zone, and Large one of six, with the settings of the users' pages.
var (
	Small = Size{settings: settingsText, limits: rowemulator.SmallSiteRateLimits}
	Large = Size{settings: settingsLargeText, limits: rowemulator.RateLimits{Writes: 4000, Reads: 16000, PartWrites: 200}}
)

// Site is a store, model servers and VMs.
type Site struct {
	Record    *Record
	Rows      *rowemulator.Store
	Upstreams []*standin.Upstream
	VMs       []*VM

	size    Size
	dir     string
	network string // first three numbers of the VMs' addresses
	ports   ports
	store   string
	version int
	servers map[*standin.Upstream]*http.Server
}

// ports are the ports of the VMs, the same on each.
type ports struct{ caller, ready, peer int }

// VM is an entry VM. It can be stopped and started again.
type VM struct {
	Name string
	// Link is this VM's link to the store.
	Link *interrupter.Proxy

	site     *Site
	zone     string
	ip       string
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

var running = struct {
	mu     sync.Mutex
	vms    map[*VM]bool
	dir    string
	group  sync.WaitGroup
	closed bool
}{vms: map[*VM]bool{}}

// StopAll ends all processes that were started.
func StopAll() {
	running.mu.Lock()
	running.closed = true
	for vm := range running.vms {
		_ = vm.command.Process.Kill()
	}
	dir := running.dir
	running.mu.Unlock()
	running.group.Wait()
	if dir != "" {
		_ = os.RemoveAll(dir)
	}
}

// New starts the store of a site.
func New(size Size) *Site {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		Fatal("temporary folder: %v", err)
	}
	running.dir = dir
	s := &Site{
		Record: NewRecord(), Rows: rowemulator.New(rowemulator.WithRateLimits(size.limits)), size: size, dir: dir,
		servers: map[*standin.Upstream]*http.Server{},
	}
	s.Rows.SetFaultFunc(func(rowemulator.Call) (bool, error) {
		time.Sleep(storeDelay)
		return true, nil
	})
	s.store = serveOn(listen("127.0.0.1:0"), standin.NewStore(s.Rows)).Addr
	s.network, s.ports = freeAddresses()
	return s
}

// listen listens on an address.
func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		Fatal("listen: %v", err)
	}
	return listener
}

// serveOn serves a handler.
func serveOn(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Addr: listener.Addr().String(), Handler: handler}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	return server
}

// freeAddresses returns a network and ports on which nothing listens.
func freeAddresses() (string, ports) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		first := 20000 + rand.IntN(9000)
		p := ports{caller: first, ready: first + 1, peer: first + 2}
		if isFree(network, p.caller, p.ready, p.peer, p.peer+1, 9464) {
			return network, p
		}
	}
	Fatal("no free ports")
	return "", ports{}
}

func isFree(network string, all ...int) bool {
	for _, port := range all {
		listener, err := net.Listen("tcp", net.JoinHostPort(network+".1", fmt.Sprint(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// AddUpstream starts a model server in a zone and lists it in the store.
func (s *Site) AddUpstream(u *standin.Upstream, zone string, slots int) {
	s.Upstreams = append(s.Upstreams, u)
	listener := listen("127.0.0.1:0")
	s.List(u, listener.Addr().String(), zone, slots)
	s.servers[u] = serveOn(listener, u)
}

// List writes the entry of a model server that starts now.
func (s *Site) List(u *standin.Upstream, address, zone string, slots int) {
	version := u.Version()
	if version == "" {
		version = "v1"
	}
	s.write(entryOf(u), map[string]any{
		"service": "lm", "address": address, "zone": zone, "version": version, "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "call_seq": 1, "born": time.Now().UnixMilli(),
	})
	s.Record.Add("servers: %s with software %s is listed", u.ID(), version)
}

// Address returns the address of a model server.
func (s *Site) Address(u *standin.Upstream) string { return s.servers[u].Addr }

// Restart starts a model server at an address.
func (s *Site) Restart(u *standin.Upstream, address string) {
	s.Upstreams = append(s.Upstreams, u)
	s.servers[u] = serveOn(listen(address), u)
	s.Record.Add("servers: %s with software %s is started", u.ID(), u.Version())
}

func entryOf(u *standin.Upstream) rowstore.Key {
	return rowstore.Key{Table: platform.TableUpstreams, Name: u.ID()}
}

// Crash ends a model server for good. Its address refuses connections from then on.
func (s *Site) Crash(u *standin.Upstream) {
	_ = s.servers[u].Close()
	s.Record.Add("servers: %s has crashed", u.ID())
}

// Unlist removes the entry of a model server, as the store does after three intervals of silence.
func (s *Site) Unlist(u *standin.Upstream) {
	if _, err := s.Rows.Apply(rowstore.Tx{Removes: []rowstore.Key{entryOf(u)}}); err != nil {
		Fatal("%s: %v", u.ID(), err)
	}
	s.Record.Add("store: the entry of %s is removed", u.ID())
}

// write writes a row as the operator or a server does.
func (s *Site) write(key rowstore.Key, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		Fatal("%s: %v", key, err)
	}
	if _, err := s.Rows.Apply(rowstore.Tx{Puts: []rowstore.Put{{Key: key, Value: text}}}); err != nil {
		Fatal("%s: %v", key, err)
	}
}

// Configure writes a new version of the configuration, with the routes of the given names.
func (s *Site) Configure(routes ...string) {
	s.version += 3
	var configuration map[string]any
	if err := json.Unmarshal(configurationText, &configuration); err != nil {
		Fatal("configuration: %v", err)
	}
	var chosen []any
	all, _ := configuration["routes"].([]any)
	for _, route := range all {
		for _, name := range routes {
			if fields, ok := route.(map[string]any); ok && fields["name"] == name {
				chosen = append(chosen, route)
			}
		}
	}
	configuration["routes"], configuration["version"] = chosen, s.version
	s.write(rowstore.Key{Table: platform.TableConfiguration, Name: platform.RowConfiguration}, configuration)
	s.Record.Add("operator: configuration version %d with routes %v confirmed", s.version, routes)
}

// StartVM starts a VM in a zone and waits until it is ready.
func (s *Site) StartVM(name, zone string) *VM {
	link, err := interrupter.New(s.store)
	if err != nil {
		Fatal("proxy: %v", err)
	}
	vm := &VM{Name: name, Link: link, site: s, zone: zone, ip: fmt.Sprintf("%s.%d", s.network, len(s.VMs)+1)}
	s.VMs = append(s.VMs, vm)
	vm.writeSettings()
	vm.Start()
	return vm
}

func (vm *VM) address(port int) string { return net.JoinHostPort(vm.ip, fmt.Sprint(port)) }

// writeSettings writes the settings file of the VM.
func (vm *VM) writeSettings() {
	p := vm.site.ports
	var settings map[string]any
	if err := json.Unmarshal(vm.site.size.settings, &settings); err != nil {
		Fatal("settings: %v", err)
	}
	settings["node"], settings["ip"], settings["zone"] = vm.Name, vm.ip, vm.zone
	if zones, ok := settings["zones"].(map[string]any); ok {
		settings["region"] = zones[vm.zone]
	}
	settings["listen"] = map[string]string{"front": vm.address(p.caller), "ready": vm.address(p.ready)}
	settings["internal_ports"] = []int{p.peer, p.peer + 1}
	if store, ok := settings["platform"].(map[string]any); ok {
		store["address"] = vm.Link.Address()
	}
	text, err := json.Marshal(settings)
	if err != nil {
		Fatal("settings: %v", err)
	}
	vm.settings = filepath.Join(vm.site.dir, vm.Name+".json")
	if err := os.WriteFile(vm.settings, text, 0o600); err != nil {
		Fatal("settings: %v", err)
	}
}

// Start starts the process of the VM and waits until it is ready.
func (vm *VM) Start() {
	vm.StartProcess()
	for deadline := time.Now().Add(startTimeout); !vm.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			Fatal("%s isn't ready", vm.Name)
		}
	}
	vm.site.Record.Add("platform: %s is ready", vm.Name)
}

// StartProcess starts the process of the VM.
func (vm *VM) StartProcess() {
	vm.command = exec.Command(program, "serve")
	vm.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + vm.settings}
	if path := os.Getenv("LOGS"); path != "" {
		file, err := os.OpenFile(filepath.Join(path, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			Fatal("log: %v", err)
		}
		vm.command.Stdout, vm.command.Stderr = file, file
	}
	running.mu.Lock()
	if err := vm.command.Start(); err != nil {
		running.mu.Unlock()
		Fatal("%s: %v", program, err)
	}
	running.vms[vm] = true
	running.mu.Unlock()
	vm.exited = make(chan struct{})
	command, exited := vm.command, vm.exited
	running.group.Go(func() {
		_ = command.Wait()
		close(exited)
		running.mu.Lock()
		defer running.mu.Unlock()
		if !running.closed && vm.command == command {
			delete(running.vms, vm)
		}
	})
	vm.site.Record.Add("platform: %s is started", vm.Name)
}

// Kill ends the process by SIGKILL.
func (vm *VM) Kill() {
	_ = vm.command.Process.Kill()
	<-vm.exited
	vm.site.Record.Add("platform: SIGKILL of %s", vm.Name)
}

// Terminate sends SIGTERM.
func (vm *VM) Terminate() {
	_ = vm.command.Process.Signal(syscall.SIGTERM)
	vm.site.Record.Add("platform: SIGTERM of %s", vm.Name)
}

// HasExited returns whether the process has ended.
func (vm *VM) HasExited() bool {
	select {
	case <-vm.exited:
		return true
	default:
		return false
	}
}

func (vm *VM) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + vm.address(vm.site.ports.ready) + names.Readiness)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
