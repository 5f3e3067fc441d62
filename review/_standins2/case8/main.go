// Command case8 takes the power of nearly all VMs of a large fleet while they have jobs.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
	"github.com/fescuespindle/fescuespindle/review/_standins2/harness"
)

const (
	vmCount     = 86
	kept        = 4 // the VMs that are left
	jobCount    = 64
	settleTime  = 12 * time.Second
	serverCount = 20
	serverSlots = 7
	items       = 10 // of a job
	events      = 20 // of an item
	eventGap    = 100 * time.Millisecond
	// finishTime is the users' finish_s, and idleTime the last part of it, in which the servers are watched.
	finishTime = 18 * time.Second
	idleTime   = 5 * time.Second
	watchTime  = 50 * time.Second
)

func main() { harness.RunAt(harness.LargeSiteRateLimits, run) }

func run(s *harness.Site) (int, error) {
	s.MemoryMB = 184
	servers, err := startServers(s)
	if err != nil {
		return 0, err
	}
	vms, err := s.StartVMs("front", vmCount)
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	jobs := submitAll(s, vms)
	if len(jobs) < jobCount {
		return 0, fmt.Errorf("%d jobs were accepted", len(jobs))
	}
	time.Sleep(time.Second)
	if s.Trouble {
		for _, vm := range vms[kept:] {
			vm.Signal(syscall.SIGKILL)
		}
	}
	broken := false
	began, idleSince, last := time.Now(), time.Now(), 0
	for isChecked := false; time.Since(began) < watchTime; time.Sleep(200 * time.Millisecond) {
		begun, running := count(servers)
		if running > 0 || begun != last {
			idleSince = time.Now()
		}
		last = begun
		if !isChecked && time.Since(began) >= finishTime {
			isChecked = true
			results := listed(vms[0], jobs)
			s.Record.Add("finish_s is over: %d of %d items have begun to run, %d are running, none for %s, %d are listed",
				begun, jobCount*items, running, time.Since(idleSince).Truncate(100*time.Millisecond), results)
			broken = begun < jobCount*items && results < jobCount*items && time.Since(idleSince) >= idleTime
		}
		s.Record.Add("%d items have begun to run, %d are running", begun, running)
	}
	s.Record.Add("in the end %d are listed", listed(vms[0], jobs))
	if broken {
		return harness.ExitBroken, nil
	}
	return harness.ExitHeld, nil
}

// count returns how many items have begun to run, and how many are running.
func count(servers []*standin.Upstream) (begun, running int) {
	ids := map[string]bool{}
	for _, server := range servers {
		for _, run := range server.Runs() {
			ids[run.ID] = true
		}
		running += server.Running()
	}
	return len(ids), running
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

func submitAll(s *harness.Site, vms []*harness.VM) []string {
	var mu sync.Mutex
	var jobs []string
	var group sync.WaitGroup
	for k := range jobCount {
		id, vm := fmt.Sprintf("lot%03d", k), vms[len(vms)-1-k%len(vms)]
		group.Go(func() {
			r := vm.Call(http.MethodPost, harness.Names["submission"], id, bytes.NewReader(submission(id)), 4*time.Second)
			s.Record.Add("%s: job %s: status %d %v", vm.Name, id, r.Status, r.Err)
			if r.Status == http.StatusAccepted {
				mu.Lock()
				jobs = append(jobs, id)
				mu.Unlock()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return jobs
}

func submission(job string) []byte {
	var b bytes.Buffer
	b.WriteString(`{"requests":[`)
	for i := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"%s-%d","path":"/batch/x/%d","headers":{"Model":"m"},"body":"q83vEjRWeJA=","tokens":940}`, job, i, i)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

func listed(vm *harness.VM, jobs []string) int {
	results := 0
	for _, id := range jobs {
		var page struct{ Next int }
		r := vm.Call(http.MethodGet, harness.Names["results"]+id+"?after=0", "", nil, 2*time.Second)
		if r.Status == http.StatusOK && json.Unmarshal([]byte(r.Body), &page) == nil {
			results += page.Next
		}
	}
	return results
}
