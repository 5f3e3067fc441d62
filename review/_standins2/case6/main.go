// Command case6 takes the power of two of three VMs while they have jobs. Each VM has a link of 30 Mbit/s.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/standins/narrowlink"
	"github.com/fescuespindle/fescuespindle/platform/standin"
	"github.com/fescuespindle/fescuespindle/review/_standins2/harness"
)

const (
	vmCount     = 3
	lostVMs     = 2
	serverCount = 9
	serverSlots = 8
	items       = 10 // of a job
	events      = 20 // of an item
	eventGap    = 100 * time.Millisecond
	memoryMB    = 184
	linkMbps    = 30
	// linkBytesPerSecond limits only what comes from the store.
	linkBytesPerSecond = linkMbps * 1_000_000 / 8
	windowBytes        = 128 << 10
	// finishTime is the users' finish_s, and idleTime the last part of it, in which the servers are watched.
	finishTime = 18 * time.Second
	idleTime   = 5 * time.Second
	// watchTime is how long the jobs get after the loss: more than twice the finishTime.
	watchTime = 40 * time.Second
	readTime  = 25 * time.Second
)

// jobCount and bodyBytes may be set in the environment, for a report with jobs of another size.
var (
	jobCount  = setting("JOBS", 16)
	bodyBytes = setting("BODY_BYTES", 150_000)
)

func setting(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

func main() { harness.Run(run) }

func run(s *harness.Site) (int, error) {
	s.MemoryMB, s.LinkMbps = memoryMB, linkMbps
	servers, err := startServers(s)
	if err != nil {
		return 0, err
	}
	var vms []*harness.VM
	for n := range vmCount {
		vm, err := startLinked(s, n+1)
		if err != nil {
			return 0, err
		}
		vms = append(vms, vm)
	}
	lost, left := vms[:lostVMs], vms[lostVMs]
	time.Sleep(4 * time.Second)
	jobs := submitAll(s, lost)
	if len(jobs) < jobCount {
		return 0, fmt.Errorf("%d jobs were accepted", len(jobs))
	}
	if s.Trouble {
		for _, vm := range lost {
			vm.Signal(syscall.SIGKILL) // for good
		}
	}
	idleSince, ran := watch(s, servers)
	s.Record.Add("%d of %d items have begun to run at a server; no run for the last %s",
		ran, jobCount*items, time.Since(idleSince).Truncate(100*time.Millisecond))
	found, unread := listed(s, left, jobs)
	s.Record.Add("%s lists %d results; %d jobs could not be read", left.Name, found, unread)
	if ran < jobCount*items && time.Since(idleSince) >= idleTime {
		return harness.ExitBroken, nil
	}
	return harness.ExitHeld, nil
}

func startServers(s *harness.Site) ([]*standin.Upstream, error) {
	var servers []*standin.Upstream
	for n := 1; n <= serverCount; n++ {
		id := fmt.Sprintf("i-%d", n)
		server := standin.NewUpstream(id, serverSlots, func(*http.Request) standin.Plan {
			return standin.Plan{Events: events, Gap: eventGap}
		})
		servers = append(servers, server)
		address, err := s.Serve(200+n, server)
		if err != nil {
			return nil, err
		}
		if err := s.AddUpstream(id, "lm", address, serverSlots); err != nil {
			return nil, err
		}
	}
	return servers, s.Configure(harness.BatchRoute())
}

// startLinked starts a VM that reaches the store over a link of its own.
func startLinked(s *harness.Site, n int) (*harness.VM, error) {
	link := narrowlink.New(linkBytesPerSecond, narrowlink.WithWindow(windowBytes))
	s.Defer(link.Close)
	address, err := link.Listen(net.JoinHostPort(s.IP(100+n), "0"), s.Store)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return s.StartVMAt(fmt.Sprintf("front-%d", n), address)
}

// submitAll submits the jobs, one after the other, and returns those that were accepted.
func submitAll(s *harness.Site, vms []*harness.VM) []string {
	var jobs []string
	for k := range jobCount {
		id, vm := fmt.Sprintf("lot%03d", k), vms[k%len(vms)]
		body := submission(id)
		r := vm.Call(http.MethodPost, harness.Names["submission"], id, bytes.NewReader(body), 4*time.Second)
		s.Record.Add("%s: job %s of %d bytes: status %d %v", vm.Name, id, len(body), r.Status, r.Err)
		if r.Status == http.StatusAccepted {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

// watch watches the servers for watchTime. It returns since when none of them has had a run, and how many
// items had one at any time.
func watch(s *harness.Site, servers []*standin.Upstream) (idleSince time.Time, ran int) {
	began, last := time.Now(), time.Now()
	idleSince = began
	for time.Since(began) < watchTime {
		time.Sleep(100 * time.Millisecond)
		begun, running := map[string]bool{}, 0
		for _, server := range servers {
			for _, run := range server.Runs() {
				begun[run.ID] = true
			}
			running += server.Running()
		}
		if running > 0 || len(begun) != ran {
			idleSince = time.Now()
		}
		ran = len(begun)
		if time.Since(last) >= time.Second {
			last = time.Now()
			s.Record.Add("%d items have begun to run, %d are running", ran, running)
		}
	}
	return idleSince, ran
}

func submission(job string) []byte {
	var b bytes.Buffer
	text := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("b"), bodyBytes))
	b.WriteString(`{"requests":[`)
	for i := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"%s-%d","path":"/batch/x/%d","headers":{"Model":"m"},"body":"%s","tokens":940}`, job, i, i, text)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// listed returns the number of results that a VM lists, and that of the jobs that can't be read.
func listed(s *harness.Site, vm *harness.VM, jobs []string) (results, unread int) {
	until := time.Now().Add(readTime)
	for _, id := range jobs {
		var page struct{ Next int }
		r := harness.Reply{}
		for r.Status != http.StatusOK && time.Now().Before(until) {
			r = vm.Call(http.MethodGet, harness.Names["results"]+id+"?after=0", "", nil, 2*time.Second)
		}
		if r.Status != http.StatusOK || json.Unmarshal([]byte(r.Body), &page) != nil {
			unread++
		}
		s.Record.Add("%s: results of %s: status %d, %d listed", vm.Name, id, r.Status, page.Next)
		results += page.Next
	}
	return results, unread
}
