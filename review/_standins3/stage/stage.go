// Program stage plays the cases of the third review: it starts the project's programs as separate processes beside
// stand-ins of the platform's store, of servers and of clients, all on loopback addresses, and judges what clients,
// servers and the platform see.
package main

import (
	"encoding/json"
	"errors"
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
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Ports of every VM of a stage.
const (
	frontPort = 18144
	readyPort = 18140
	peerPort  = 18160
	host      = "a.example"
	zone      = "z1"
)

// errNotRun means that the case couldn't run, which says nothing of the rule.
var errNotRun = errors.New("the case couldn't run")

// stage is one small deployment.
type stage struct {
	trouble bool // whether the disruption takes place
	names   names
	rows    *rowemulator.Store
	store   string // address
	prefix  string // of the loopback addresses
	dir     string
	vms     []*vm
	group   sync.WaitGroup
	closers []func()

	mu     sync.Mutex
	record io.Writer
	began  time.Time
}

func newStage(record io.Writer) (*stage, error) {
	words, err := readNames()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := &stage{
		trouble: os.Getenv("TROUBLE") != "0", names: words, rows: rowemulator.New(), dir: dir, record: record, began: time.Now(),
		prefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(255)),
	}
	if s.store, err = s.serve(s.prefix+"250:0", standin.NewStore(s.rows)); err != nil {
		return nil, err
	}
	return s, s.writeRow(platform.TableConfiguration, platform.RowConfiguration, words.Configuration)
}

// close ends all processes and servers that the stage has started.
func (s *stage) close() {
	for _, v := range s.vms {
		v.stop()
	}
	for _, c := range s.closers {
		c()
	}
	s.group.Wait()
	_ = os.RemoveAll(s.dir)
}

// abandon ends all processes at once, without waiting for the case.
func (s *stage) abandon() {
	for _, v := range s.vms {
		v.stop()
	}
	_ = os.RemoveAll(s.dir)
	os.Exit(exitNotRun)
}

// logf writes a line to the record.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%7.2f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler and returns its address.
func (s *stage) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNotRun, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 8 << 20}
	s.group.Go(func() { _ = server.Serve(listener) })
	s.closers = append(s.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (s *stage) writeRow(table, name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	put := rowstore.Put{Key: rowstore.Key{Table: table, Name: name}, Value: text}
	if _, err = s.rows.Apply(rowstore.Tx{Puts: []rowstore.Put{put}}); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return nil
}

// addServer serves a server of a service and writes its entry.
func (s *stage) addServer(id, service string, slots int, handler http.Handler) error {
	address, err := s.serve(s.prefix+"200:0", handler)
	if err != nil {
		return err
	}
	return s.writeRow(platform.TableUpstreams, id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "call_seq": 0, "born": 1,
	})
}

// names are the words of the platform that a stand-in needs.
type names struct {
	Results       string          `json:"results"`
	Configuration json.RawMessage `json:"configuration"`
}

// readNames reads the words of the platform. The checks of the project's style keep them out of source files.
func readNames() (names, error) {
	var n names
	text, err := os.ReadFile("review/_standins3/names.json")
	if err == nil {
		err = json.Unmarshal(text, &n)
	}
	if err != nil {
		return n, fmt.Errorf("%w: %w", errNotRun, err)
	}
	return n, nil
}

// vm is a machine that runs the project's program.
type vm struct {
	stage    *stage
	name     string
	ip       string
	memoryMB int
	settings string

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	stopping bool
	ends     []string // how each process of the VM has ended before the end of the case
	peakKB   int      // the largest anonymous memory of any process
	log      *os.File
}

// addVM starts a VM. Its platform restarts a process that ends, and kills one whose memory exceeds that of the VM.
func (s *stage) addVM(memoryMB int) (*vm, error) {
	n := len(s.vms) + 1
	v := &vm{stage: s, name: fmt.Sprintf("front-z1-%d", n), ip: s.prefix + strconv.Itoa(n), memoryMB: memoryMB}
	v.settings = filepath.Join(s.dir, v.name+".json")
	text, err := json.Marshal(map[string]any{
		"node": v.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": v.ip, "zone": zone,
		"region": "r1", "zones": map[string]string{zone: "r1"},
		"listen":         map[string]string{"front": v.address(frontPort), "ready": v.address(readyPort)},
		"internal_ports": []int{peerPort, peerPort + 15}, "seeds": []string{}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": memoryMB, "max_fds": v.descriptors(), "link_mbps": 600.0, "disk_mb": 0},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{
			"contact_ms": 4000, "ack_ms": 6000, "drain_ms": 4000, "grace_s": 8, "config_apply_ms": 4000, "status_s": 120,
			"cancel_ms": 3000, "settle_ms": 1000, "quota_overage": 0.1,
		},
		"platform": map[string]any{
			"address": s.store, "form": "table", "writes_per_s": 1500, "reads_per_s": 6000, "tx_ms": 5.0, "part_writes_per_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	if err := os.WriteFile(v.settings, text, 0o600); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	if v.log, err = os.Create(filepath.Join(s.dir, v.name+".log")); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	if err := v.run(); err != nil {
		return nil, err
	}
	s.vms = append(s.vms, v)
	s.group.Go(v.keep)
	return v, s.eventually("VM ready", 20*time.Second, v.ready)
}

// descriptors returns the descriptors that a VM of its memory has on the users' sheets.
func (v *vm) descriptors() int {
	if v.memoryMB < 200 {
		return 4100
	}
	return 8200
}

func (v *vm) address(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

// run starts the process by the command of the deploy file.
func (v *vm) run() error {
	command := exec.Command("target/fescuespindle-entry", "serve")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + v.settings,
		"GOMAXPROCS=1", // the VM has one core
	}
	command.Stdout, command.Stderr = v.log, v.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited = command, exited
	v.mu.Unlock()
	v.stage.group.Go(func() {
		_ = command.Wait()
		close(exited)
	})
	return nil
}

// keep acts as the VM's platform until the stage ends.
func (v *vm) keep() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for range ticker.C {
		v.mu.Lock()
		command, exited, stopping := v.command, v.exited, v.stopping
		v.mu.Unlock()
		if stopping {
			return
		}
		select {
		case <-exited:
			v.recordEnd("ended by itself: " + command.ProcessState.String())
			time.Sleep(500 * time.Millisecond)
			if err := v.run(); err != nil {
				return
			}
			continue
		default:
		}
		kb := anonymousKB(command.Process.Pid)
		v.mu.Lock()
		v.peakKB = max(v.peakKB, kb)
		v.mu.Unlock()
		if kb > v.memoryMB<<10 {
			_ = command.Process.Signal(syscall.SIGKILL)
			<-exited
			v.recordEnd(fmt.Sprintf("killed by the platform: %d MB of %d MB", kb>>10, v.memoryMB))
			time.Sleep(500 * time.Millisecond)
			if err := v.run(); err != nil {
				return
			}
		}
	}
}

func (v *vm) recordEnd(how string) {
	v.mu.Lock()
	v.ends = append(v.ends, how)
	v.mu.Unlock()
	v.stage.logf("PROCESS END %s %s", v.name, how)
}

func (v *vm) endCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.ends)
}

func (v *vm) peakMB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peakKB >> 10
}

// anonymousKB returns the memory of a process without that of files, which is less than what the platform counts.
func anonymousKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0]) //nolint:errcheck // 0 otherwise
			return kb
		}
	}
	return 0
}

// cpu returns the processor time that the current process has taken.
func (v *vm) cpu() time.Duration {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])   //nolint:errcheck // 0 otherwise
	system, _ := strconv.Atoi(fields[12]) //nolint:errcheck // 0 otherwise
	return time.Duration(user+system) * 10 * time.Millisecond
}

// kill sends SIGKILL to the process, which the platform starts again.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.command.Process.Signal(syscall.SIGKILL) // if it has ended, it starts again too
}

// stop ends the process.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopping = true
	command, exited := v.command, v.exited
	v.mu.Unlock()
	_ = command.Process.Kill()
	<-exited
}

// quote writes the first line of the VM's own log that has a text to the record. Nothing is judged by it.
func (v *vm) quote(text string) {
	all, err := os.ReadFile(v.log.Name())
	if err != nil {
		return
	}
	for line := range strings.Lines(string(all)) {
		if strings.Contains(line, text) {
			line = strings.TrimSpace(line)
			v.stage.logf("LOG of %s: %s", v.name, line[:min(len(line), 400)])
			return
		}
	}
}

// ready asks the readiness as the balancer does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.address(readyPort) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *stage) eventually(what string, timeout time.Duration, happened func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if happened() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s not within %v", errNotRun, what, timeout)
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request on a new channel and reads the answer within a time.
func (v *vm) call(timeout time.Duration, method, target, id, body string, header ...string) reply {
	request, err := http.NewRequest(method, "http://"+v.address(frontPort)+target, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	for n := 0; n < len(header); n += 2 {
		request.Header.Set(header[n], header[n+1])
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
