// Package integration_test runs entry VMs as separate processes behind
// fault-injecting proxies and tests that they survive crashes, pauses,
// partitions and store outages.
package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/faces/operator"
	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/interrupter"
	"github.com/fescuespindle/fescuespindle/internal/standins/outputcollector"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/serviceemulator"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// eventTimeout bounds the duration of a failing test. No test depends on how
// soon an event happens.
const eventTimeout = 90 * time.Second

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fescuespindle")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "fescuespindle")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "../../cmd/fescuespindle")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is an entry VM that runs as a separate process. It reaches the
// platform and its peers through proxies.
type process struct {
	fleet    *fleet
	settings settingsloader.Settings
	command  *exec.Cmd
	log      *outputcollector.Buffer
	exited   chan error
	platform *interrupter.Proxy
	peers    *interrupter.Proxy
}

// fleet is a site whose entry VMs are separate processes, with stand-ins for
// the platform, engines and services.
type fleet struct {
	t      *testing.T
	spec   sitebuilder.Spec
	dir    string
	store  *rowemulator.Store
	server *httptest.Server
	// platformAddress is the address of the platform, which may run in this
	// process or in another.
	platformAddress string
	engines         map[string]*engineemulator.Engine
	services        []*serviceemulator.Service
	vms             []*process
	vmList          []vmlister.VM
	client          *http.Client
	limits          processLimits
}

// processLimits are what the environment of a VM's process allows it; zero means no limit.
type processLimits struct {
	memoryBytes int // soft limit of the Go runtime
	descriptors int
}

// domainSpec describes one failure domain of a fleet.
type domainSpec struct {
	region, domain string
	vms, engines   int
}

// newFleet starts a fleet, applies its configuration and waits until every VM
// is ready.
func newFleet(t *testing.T, domains ...domainSpec) *fleet {
	t.Helper()
	return newLimitedFleet(t, processLimits{}, domains...)
}

// newLimitedFleet is newFleet with limits for each VM.
func newLimitedFleet(t *testing.T, limits processLimits, domains ...domainSpec) *fleet {
	t.Helper()
	f := &fleet{
		t: t, limits: limits, spec: sitebuilder.Authority(), dir: t.TempDir(),
		store:   rowemulator.New(rowemulator.WithRateLimits(rowemulator.SmallSiteRateLimits)),
		engines: map[string]*engineemulator.Engine{}, client: &http.Client{Transport: &http.Transport{}},
	}
	t.Cleanup(f.client.CloseIdleConnections)
	f.server = f.serve(standin.NewStore(f.store))
	f.platformAddress = f.server.Listener.Addr().String()
	f.writeSecret()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, p := range domains {
		for n := range p.engines {
			f.addEngine(ctx, p, fmt.Sprintf("%s-engine-%d", p.domain, n))
		}
		service := serviceemulator.New(f.spec.Service)
		f.services = append(f.services, service)
		f.addUpstream(p, p.domain+"-service", f.spec.Service, f.serve(service).Listener.Addr().String())
		for n := range p.vms {
			f.addVM(p, fmt.Sprintf("%s-entry-%d", p.domain, n))
		}
	}
	f.writeVMList()
	_, err := sitebuilder.ApplyDocument(t.Context(), f.server.URL, f.spec.Document)
	qt.Assert(t, err, qt.IsNil)
	for _, vm := range f.vms {
		vm.start()
	}
	for _, vm := range f.vms {
		vm.waitReady(len(f.engines))
	}
	return f
}

// writeVMList writes the fleet's VMs and upstreams to the platform's VM list.
func (f *fleet) writeVMList() {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	store := platform.NewStore("http://"+f.platformAddress, transport)
	qt.Assert(f.t, vmlister.Write(f.t.Context(), store, f.vmList), qt.IsNil)
}

func (f *fleet) writeSecret() {
	qt.Assert(f.t, os.WriteFile(filepath.Join(f.dir, "secret"), []byte(sitebuilder.PeerSecret), 0o600), qt.IsNil)
}

func (f *fleet) serve(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = nil
	server.Start()
	f.t.Cleanup(server.Close)
	return server
}

func (f *fleet) addEngine(ctx context.Context, p domainSpec, id string) {
	engine := engineemulator.New(engineemulator.WithStep(5*time.Millisecond),
		engineemulator.WithLoaded(upstream.LoadedModel{Name: f.spec.Model, Version: "2026-10"}))
	var group sync.WaitGroup
	group.Go(func() { engine.Run(ctx) })
	f.engines[id] = engine
	f.addUpstream(p, id, f.spec.EnginePool, f.serve(engine).Listener.Addr().String())
}

func (f *fleet) addUpstream(p domainSpec, id, pool, address string) {
	f.vmList = append(f.vmList, vmlister.VM{
		ID: id, Kind: vmlister.KindUpstream, Pool: pool, Region: p.region, Domain: p.domain,
		Address: address,
	})
}

// nextPort counts the ports that freeAddress has tried. They lie below the
// ephemeral range: an outgoing connection could otherwise take the port before
// the process listens on it.
var nextPort atomic.Int32

func freeAddress(t *testing.T) string {
	t.Helper()
	const first, runs, portsPerRun = 20_000, 30, 400
	for {
		port := first + os.Getpid()%runs*portsPerRun + int(nextPort.Add(1))%portsPerRun
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		qt.Assert(t, listener.Close(), qt.IsNil)
		return address
	}
}

func (f *fleet) proxy(target string) *interrupter.Proxy {
	p, err := interrupter.New(target)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(p.Close)
	return p
}

func (f *fleet) addVM(p domainSpec, id string) {
	vm := &process{fleet: f, settings: settingsloader.Settings{
		VM: id, Region: p.region, Domain: p.domain, CallerAddress: freeAddress(f.t), OperatorAddress: freeAddress(f.t),
		PeerAddress: freeAddress(f.t), PeerSecretFile: filepath.Join(f.dir, "secret"),
		DrainTimeout: settingsloader.Duration(time.Minute), BalancerLag: settingsloader.Duration(3 * time.Second),
		LogFormat: settingsloader.LogJSON,
	}}
	vm.platform = f.proxy(f.platformAddress)
	vm.peers = f.proxy(vm.settings.PeerAddress)
	vm.settings.PlatformURL = "http://" + vm.platform.Address()
	f.vms = append(f.vms, vm)
	f.vmList = append(f.vmList, vmlister.VM{
		ID: id, Kind: vmlister.KindEntry, Region: p.region, Domain: p.domain, Address: vm.settings.CallerAddress,
		Peer: vm.peers.Address(),
	})
}

// start writes the settings file and starts the process, which is killed when
// the test ends.
func (p *process) start() {
	t := p.fleet.t
	text, err := json.Marshal(p.settings)
	qt.Assert(t, err, qt.IsNil)
	path := filepath.Join(p.fleet.dir, p.settings.VM+".json")
	qt.Assert(t, os.WriteFile(path, text, 0o600), qt.IsNil)
	p.command = exec.Command(program, "serve", "--settings", path)
	if limits := p.fleet.limits; limits != (processLimits{}) {
		limited := fmt.Sprintf("ulimit -n %d; exec \"$@\"", limits.descriptors)
		p.command = exec.Command("sh", append([]string{"-c", limited, "sh"}, p.command.Args...)...)
		p.command.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%d", limits.memoryBytes))
	}
	p.log = &outputcollector.Buffer{}
	p.command.Stderr = p.log
	qt.Assert(t, p.command.Start(), qt.IsNil)
	command, exited := p.command, make(chan error, 1)
	p.exited = exited
	var group sync.WaitGroup
	group.Go(func() { exited <- command.Wait() })
	t.Cleanup(func() {
		_ = command.Process.Kill()
		group.Wait()
	})
}

func (p *process) signal(s syscall.Signal) {
	qt.Assert(p.fleet.t, p.command.Process.Signal(s), qt.IsNil)
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = <-p.exited //nolint:staticcheck // a killed process always exits with an error
}

func (p *process) requester(token string) *requester.Requester {
	return requester.New("http://"+p.settings.CallerAddress, token, p.fleet.client)
}

// vmState is the part of a VM's state page that the tests use.
type vmState struct {
	Ready         bool   `json:"ready"`
	ConfigVersion uint64 `json:"configVersion"`
	Chunks        int    `json:"chunks"`
	Upstreams     []struct {
		ID      string `json:"id"`
		Leaving bool   `json:"leaving"`
	} `json:"upstreams"`
}

// sendsTo returns whether the VM may send new requests to an upstream, for all it knows.
func (s vmState) sendsTo(upstream string) bool {
	for _, u := range s.Upstreams {
		if u.ID == upstream && !u.Leaving {
			return true
		}
	}
	return false
}

func (p *process) state() (vmState, error) {
	var state vmState
	response, err := p.fleet.client.Get("http://" + p.settings.OperatorAddress + operator.PathState)
	if err != nil {
		return state, err
	}
	defer func() { _ = response.Body.Close() }()
	return state, json.NewDecoder(response.Body).Decode(&state)
}

// isReady returns the VM's readiness, as the load balancer sees it.
func (p *process) isReady() bool {
	response, err := p.fleet.client.Get("http://" + p.settings.OperatorAddress + operator.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (p *process) waitReady(engines int) {
	t := p.fleet.t
	t.Helper()
	ready := waitFor(func() bool {
		state, err := p.state()
		return err == nil && state.Ready && len(state.Upstreams) >= engines
	})
	if !ready {
		t.Fatalf("%s did not become ready; its log:\n%s", p.settings.VM, p.log)
	}
}

// eventually fails the test if a condition doesn't hold within eventTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if !waitFor(condition) {
		t.Fatalf("timed out waiting until: %s", what)
	}
}

// waitFor polls a condition and returns false if it doesn't hold within
// eventTimeout.
func waitFor(condition func() bool) bool {
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// jobName is the idempotency key of every job and the prefix of its items.
const jobName = "lot"

// submit uploads an input file to a VM and submits a batch job with it. Each
// item generates the given number of tokens.
func (f *fleet) submit(vm *process, items, tokens int) requester.Batch {
	caller := vm.requester(sitebuilder.BatchToken)
	input := sitebuilder.BatchInput(f.spec.Model, jobName, items, tokens)
	file, err := caller.Upload(f.t.Context(), jobName, strings.NewReader(input))
	qt.Assert(f.t, err, qt.IsNil)
	batch, err := caller.Submit(f.t.Context(), file.ID, upstream.PathChat, "1h", jobName)
	qt.Assert(f.t, err, qt.IsNil)
	return batch
}

// waitEnded waits until a job is no longer in progress and returns it.
func (f *fleet) waitEnded(vm *process, id string) requester.Batch {
	var batch requester.Batch
	eventually(f.t, "job "+id+" ends", func() bool {
		var err error
		batch, err = vm.requester(sitebuilder.BatchToken).Status(f.t.Context(), id)
		return err == nil && batch.Status != "in_progress"
	})
	return batch
}

// results reads a job's results from a VM and returns the answer of each item
// by its custom ID.
func (f *fleet) results(vm *process, id string) map[string]string {
	var text bytes.Buffer
	qt.Assert(f.t, vm.requester(sitebuilder.BatchToken).Results(f.t.Context(), id, &text), qt.IsNil)
	answers := map[string]string{}
	for line := range bytes.Lines(text.Bytes()) {
		var result jobkeeper.Result
		qt.Assert(f.t, json.Unmarshal(line, &result), qt.IsNil)
		_, twice := answers[result.CustomID]
		qt.Assert(f.t, twice, qt.IsFalse, qt.Commentf("%s has two results", result.CustomID))
		qt.Assert(f.t, result.Response, qt.IsNotNil, qt.Commentf("%s failed: %v", result.CustomID, result.Error))
		answers[result.CustomID] = string(result.Response.Body)
	}
	return answers
}

// expectOneResultPerItem checks that a completed job has exactly one correct
// result for each item, and that every VM returns the same results.
func (f *fleet) expectOneResultPerItem(vms []*process, id string, items, tokens int) {
	f.t.Helper()
	first := f.results(vms[0], id)
	qt.Assert(f.t, first, qt.HasLen, items)
	for n := range items {
		var answer upstream.Completed
		qt.Assert(f.t, json.Unmarshal([]byte(first[fmt.Sprintf("%s-%d", jobName, n)]), &answer), qt.IsNil)
		prompt := fmt.Sprintf("user: %s item %d\n", jobName, n)
		qt.Assert(f.t, answer.Choices[0].Message.Content, qt.Equals, engineemulator.Answer(prompt, tokens))
	}
	for _, vm := range vms[1:] {
		qt.Assert(f.t, f.results(vm, id), qt.DeepEquals, first)
	}
}

// apply applies a changed document and returns its version.
func (f *fleet) apply(change ...deployer.Option) uint64 {
	doc := f.spec.Document
	for _, option := range change {
		option(&doc)
	}
	entry, err := sitebuilder.ApplyDocument(f.t.Context(), f.server.URL, doc)
	qt.Assert(f.t, err, qt.IsNil)
	return entry.Version
}

func (f *fleet) waitVersion(vm *process, version uint64) {
	eventually(f.t, fmt.Sprintf("%s has version %d in force", vm.settings.VM, version), func() bool {
		state, err := vm.state()
		return err == nil && state.ConfigVersion >= version
	})
}

// complete sends an online request and returns an error unless the answer is
// correct.
func (f *fleet) complete(vm *process, prompt string, tokens int) error {
	answer, err := vm.requester(sitebuilder.OnlineToken).Complete(f.t.Context(), f.spec.Model, prompt, tokens)
	if err != nil {
		return err
	}
	if want := engineemulator.Answer("user: "+prompt+"\n", tokens); answer.Text() != want {
		return fmt.Errorf("wrong answer %q", answer.Text())
	}
	return nil
}

// command runs the program and returns its stdout, stderr and exit code.
func command(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	var out, errs bytes.Buffer
	c := exec.CommandContext(t.Context(), program, args...)
	c.Stdout, c.Stderr = io.Writer(&out), io.Writer(&errs)
	_ = c.Run() // failures show in the exit code
	return out.String(), errs.String(), c.ProcessState.ExitCode()
}
