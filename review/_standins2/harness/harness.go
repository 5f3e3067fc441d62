// Package harness starts entry VMs as separate processes on loopback addresses, with a stand-in of the
// platform's store and of upstreams, and writes what happens into a record.
package harness

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

//go:embed names.json
var namesText []byte

// Names are the words of the users' pages that the stand-ins use.
var Names = parseNames()

func parseNames() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
	return names
}

// Host is the host of all routes.
const Host = "desk.example"

// Zone is the zone of all VMs and servers.
const Zone = "a"

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the file of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Site consists of a store, upstreams and VMs.
type Site struct {
	Record   *Record
	Rows     *rowemulator.Store
	Store    string  // address of the store
	MemoryMB int     // of each VM
	LinkMbps float64 // of each VM, as its settings say
	Trouble  bool
	VMs      []*VM

	dir     string
	network string // the first three numbers of all addresses
	version int
	closers []func()
	Group   sync.WaitGroup
}

// Ports of the VMs, each of which has an address of its own.
const (
	callerPort = 18240
	readyPort  = 18241
	peerPort   = 18242
	storeHost  = 200
)

// NewSite returns a site with a store and no VMs. TROUBLE=0 in the environment asks for a site without the
// disruption.
func NewSite(record string, limits rowemulator.RateLimits) (*Site, error) {
	r, err := NewRecord(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	s := &Site{
		Record: r, Rows: rowemulator.New(rowemulator.WithRateLimits(limits)), MemoryMB: 164, LinkMbps: 1000,
		Trouble: os.Getenv("TROUBLE") != "0", dir: dir, network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	s.Store, err = s.Serve(storeHost, standin.NewStore(s.Rows))
	return s, err
}

// IP returns the address of a host of the site.
func (s *Site) IP(host int) string { return s.network + "." + strconv.Itoa(host) }

// Serve serves a handler at a free port of a host of the site until Close, and returns its address.
func (s *Site) Serve(host int, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.IP(host), "0"))
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.Group.Go(func() { _ = server.Serve(listener) })
	s.closers = append(s.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// Defer calls a function when the site is closed.
func (s *Site) Defer(f func()) { s.closers = append(s.closers, f) }

// Put writes a row of the operator or of a server into the store.
func (s *Site) Put(table, name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	key := rowstore.Key{Table: table, Name: name}
	if err := s.Rows.PutLarge(rowstore.Put{Key: key, Value: text}); err != nil {
		return fmt.Errorf("write row: %w", err)
	}
	return nil
}

// AddUpstream lists a server of a service with a number of slots.
func (s *Site) AddUpstream(id, service, address string, slots int) error {
	return s.Put(Names["serversTable"], id, map[string]any{
		"service": service, "address": address, "zone": Zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "call_seq": 0, "born": time.Now().UnixMilli(),
	})
}

// Route returns a route of the configuration under /NAME/.
func Route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
		"max_attempts": 3, "timeout_ms": 5_000, Names["target"]: 300, "priority": 0,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// BatchRoute returns the batch route /batch/ as on the sheets.
func BatchRoute() map[string]any {
	return Route("batch", "batch", "lm", map[string]any{
		Names["completion"]: 18_000, "retention_s": 60, "max_count": 2_600_000, "timeout_ms": 15_000, "priority": 2,
	})
}

// Configure writes a new configuration with the limits that the pages show.
func (s *Site) Configure(routes ...map[string]any) error {
	s.version += 7
	return s.Put(Names["configTable"], Names["configRow"], map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": "lm", "max_conns": 360}, {"name": "desk", "max_conns": 100}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// VM is an entry VM. It can be stopped and started again with the same settings.
type VM struct {
	Name, IP string
	site     *Site
	settings string
	store    string // address at which it reaches the store
	command  *exec.Cmd
	exited   chan struct{}
	starts   int
}

// StartVM adds a VM and waits until it is ready.
func (s *Site) StartVM(name string) (*VM, error) { return s.StartVMAt(name, s.Store) }

// StartVMAt does the same for a VM that reaches the store at an address, as through a proxy.
func (s *Site) StartVMAt(name, store string) (*VM, error) {
	vm, err := s.launch(name, store)
	if err != nil {
		return nil, err
	}
	return vm, vm.AwaitReady(readyTime)
}

// StartVMs starts several VMs at once, and waits until all are ready.
func (s *Site) StartVMs(name string, count int) ([]*VM, error) {
	vms := make([]*VM, 0, count)
	for n := range count {
		vm, err := s.launch(fmt.Sprintf("%s-%d", name, n+1), s.Store)
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	for _, vm := range vms {
		if err := vm.AwaitReady(readyTime); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// readyTime is how long a VM may take to be ready.
const readyTime = 30 * time.Second

// launch starts a VM.
func (s *Site) launch(name, store string) (*VM, error) {
	vm := &VM{Name: name, IP: s.IP(len(s.VMs) + 1), site: s, settings: filepath.Join(s.dir, name+".json"), store: store}
	text, err := json.Marshal(map[string]any{
		"node": name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": vm.IP, "zone": Zone,
		"region": "r", "zones": map[string]string{Zone: "r"},
		"listen":         map[string]string{"front": vm.Address(callerPort), "ready": vm.Address(readyPort)},
		"internal_ports": []int{peerPort, peerPort + 15},
		"limits": map[string]any{
			"cpu_share": 0.8, "cores": 1, "memory_mb": s.MemoryMB, "max_fds": 8200, "link_mbps": s.LinkMbps, "disk_mb": 0,
		},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2500, "grace_s": 8, "config_apply_ms": 2500, "recovery_s": 12,
			"finish_s": 18, "status_s": 120, "cancel_ms": 3000, "settle_ms": 1000, "quota_overage": 0.1,
		},
		"platform": map[string]any{
			"address": vm.store, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0,
			"part_writes_per_s": 200, "row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(vm.settings, text, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	s.VMs = append(s.VMs, vm)
	return vm, vm.Start()
}

// Address returns an address of the VM.
func (vm *VM) Address(port int) string { return net.JoinHostPort(vm.IP, strconv.Itoa(port)) }

// URL returns the URL of a path for callers.
func (vm *VM) URL(path string) string { return "http://" + vm.Address(callerPort) + path }

// Start starts the process with the command of the deploy file.
func (vm *VM) Start() error {
	vm.starts++
	output, err := os.Create(filepath.Join(vm.site.dir, fmt.Sprintf("%s-%d.log", vm.Name, vm.starts)))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	vm.command = exec.Command(Names["program"], "serve")
	vm.command.Env = append(os.Environ(), Names["settings"]+"="+vm.settings)
	vm.command.Stdout, vm.command.Stderr = output, output
	vm.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the case
	if err := vm.command.Start(); err != nil {
		return fmt.Errorf("start VM: %w", err)
	}
	command, exited := vm.command, make(chan struct{})
	vm.exited = exited
	vm.site.Record.Add("process of %s starts, PID %d", vm.Name, command.Process.Pid)
	vm.site.Group.Go(func() {
		err := command.Wait()
		_ = output.Close()
		vm.site.Record.Add("process of %s has ended: %v", vm.Name, err)
		close(exited)
	})
	return nil
}

// AwaitReady waits until the VM is ready.
func (vm *VM) AwaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if vm.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", vm.Name)
}

// IsReady asks the VM as the platform's balancer does.
func (vm *VM) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + vm.Address(readyPort) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (vm *VM) Signal(signal syscall.Signal) {
	vm.site.Record.Add("signal to %s: %v", vm.Name, signal)
	_ = vm.command.Process.Signal(signal)
}

// Kill ends the process by SIGKILL and waits for its end.
func (vm *VM) Kill() {
	vm.Signal(syscall.SIGKILL)
	<-vm.exited
}

// Exited returns a channel that is closed once the process has ended.
func (vm *VM) Exited() <-chan struct{} { return vm.exited }

// MemoryMiB returns the memory of the process that is no part of any file, in MiB, or 0 if it has ended.
func (vm *VM) MemoryMiB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kibibytes, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64) //nolint:errcheck // 0 then
			return kibibytes / 1024
		}
	}
	return 0
}

// Guard watches the memory of VMs, as the platform does: it kills a process that exceeds the memory of its machine, and
// starts it again after a short delay.
type Guard struct {
	site    *Site
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	kills   map[string]int
	highest map[string]float64
}

// Times of a Guard.
const (
	samplePeriod = 5 * time.Millisecond
	restartDelay = time.Second
)

// Guard starts to watch VMs.
func (s *Site) Guard(vms ...*VM) *Guard {
	g := &Guard{site: s, stop: make(chan struct{}), kills: map[string]int{}, highest: map[string]float64{}}
	for _, vm := range vms {
		g.group.Go(func() { g.watch(vm) })
	}
	return g
}

func (g *Guard) watch(vm *VM) {
	for {
		select {
		case <-g.stop:
			return
		case <-vm.exited: // killed by the case
			return
		case <-time.After(samplePeriod):
		}
		memory := vm.MemoryMiB()
		g.mu.Lock()
		g.highest[vm.Name] = max(g.highest[vm.Name], memory)
		g.mu.Unlock()
		if memory <= float64(g.site.MemoryMB) {
			continue
		}
		g.mu.Lock()
		g.kills[vm.Name]++
		g.mu.Unlock()
		g.site.Record.Add("%s has %.0f MiB in memory, its machine has %d: the platform kills it", vm.Name, memory, g.site.MemoryMB)
		vm.Kill()
		time.Sleep(restartDelay)
		if err := vm.Start(); err != nil {
			g.site.Record.Add("%v", err)
			return
		}
	}
}

// The users' rule: on two machines at least, a process has ended by itself three times.
const (
	minMachines = 2
	minEnds     = 3
)

// Stop ends the watch, and returns whether processes of several VMs were killed so often that the users' rule is broken.
func (g *Guard) Stop() (broken bool) {
	close(g.stop)
	g.group.Wait()
	machines := 0
	for _, n := range g.kills {
		if n >= minEnds {
			machines++
		}
	}
	g.site.Record.Add("most memory in MiB: %v, killed for their memory: %v", g.highest, g.kills)
	return machines >= minMachines
}

// Highest returns the most memory that a VM had so far.
func (g *Guard) Highest(vm *VM) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest[vm.Name]
}

// Reply is an answer, or an error, as a caller receives it.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Call sends a request on a new connection. header lists names and values in turn.
func (vm *VM) Call(method, path, id string, body io.Reader, timeout time.Duration, header ...string) Reply {
	request, err := http.NewRequest(method, vm.URL(path), body)
	if err != nil {
		return Reply{Err: err}
	}
	request.Host = Host
	if id != "" {
		request.Header.Set(Names["id"], id)
	}
	for n := 0; n+1 < len(header); n += 2 {
		request.Header.Set(header[n], header[n+1])
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err}
}

// KeepLogs copies the logs of all VMs to a folder.
func (s *Site) KeepLogs(to string) {
	logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, log := range logs {
		if text, err := os.ReadFile(log); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(log)), text, 0o600)
		}
	}
}

// Close ends all processes and servers of the site.
func (s *Site) Close() {
	for _, vm := range s.VMs {
		if vm.exited != nil {
			_ = vm.command.Process.Kill() // fails if it has ended
			<-vm.exited
		}
	}
	for _, c := range s.closers {
		c()
	}
	s.Group.Wait()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		s.KeepLogs(keep)
	}
	_ = os.RemoveAll(s.dir)
}

// LargeSiteRateLimits are the limits of the store at the site with 86 VMs.
var LargeSiteRateLimits = rowemulator.RateLimits{Writes: 1500, Reads: 6000, PartWrites: 200}

// Run runs a case at a small site, as RunAt does.
func Run(run func(s *Site) (code int, err error)) { RunAt(rowemulator.SmallSiteRateLimits, run) }

// RunAt runs a case with a store that has rate limits, and exits with its code. The first argument of the program is
// the path of the record.
func RunAt(limits rowemulator.RateLimits, run func(s *Site) (code int, err error)) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(ExitNotRun)
	}
	s, err := NewSite(os.Args[1], limits)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	code, err := run(s)
	s.Close()
	if err != nil {
		code = ExitNotRun
		s.Record.Add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	s.Record.Add("exit code %d", code)
	fmt.Printf("exit code %d\n", code)
	os.Exit(code)
}
