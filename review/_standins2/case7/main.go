// Command case7 takes the power of all VMs but two while they have large jobs, and watches the memory of those
// that are left.
package main

import (
	"bytes"
	"encoding/base64"
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
	vmCount     = 10
	leftVMs     = 2
	serverCount = 9
	serverSlots = 8
	jobsPerVM   = 11
	items       = 10
	bodyBytes   = 280_000
	events      = 20
	eventGap    = 200 * time.Millisecond
	watchTime   = 60 * time.Second
)

func main() { harness.Run(run) }

func run(s *harness.Site) (int, error) {
	vms, err := start(s)
	if err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	guard := s.Guard(vms...)
	jobs := submitAll(s, vms)
	if len(jobs) < vmCount*jobsPerVM {
		return 0, fmt.Errorf("%d jobs were accepted", len(jobs))
	}
	s.Record.Add("%d jobs of %d items of %d bytes are accepted, %.0f MiB in the first VM", len(jobs), items, bodyBytes, guard.Highest(vms[0]))
	if s.Trouble {
		for _, vm := range vms[leftVMs:] {
			vm.Signal(syscall.SIGKILL) // for good
		}
	}
	time.Sleep(watchTime)
	broken := guard.Stop()
	s.Record.Add("%d of %d items have a result", listed(s, vms[0], jobs), len(jobs)*items)
	if broken {
		return harness.ExitBroken, nil
	}
	return harness.ExitHeld, nil
}

func start(s *harness.Site) ([]*harness.VM, error) {
	for n := 1; n <= serverCount; n++ {
		id := fmt.Sprintf("i-%d", n)
		server := standin.NewUpstream(id, serverSlots, func(*http.Request) standin.Plan {
			return standin.Plan{Events: events, Gap: eventGap}
		})
		address, err := s.Serve(200+n, server)
		if err != nil {
			return nil, err
		}
		if err := s.AddUpstream(id, "lm", address, serverSlots); err != nil {
			return nil, err
		}
	}
	if err := s.Configure(harness.BatchRoute()); err != nil {
		return nil, err
	}
	var vms []*harness.VM
	for n := 1; n <= vmCount; n++ {
		vm, err := s.StartVM(fmt.Sprintf("front-%d", n))
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// submitAll submits jobsPerVM jobs to each VM, one after the other, and returns those that were accepted.
func submitAll(s *harness.Site, vms []*harness.VM) []string {
	var mu sync.Mutex
	var jobs []string
	var group sync.WaitGroup
	for n, vm := range vms {
		group.Go(func() {
			for k := range jobsPerVM {
				id := fmt.Sprintf("lot-%d-%02d", n+1, k)
				body := submission(id)
				r := vm.Call(http.MethodPost, harness.Names["submission"], id, bytes.NewReader(body), 4*time.Second)
				s.Record.Add("%s: job %s of %d bytes: status %d %v", vm.Name, id, len(body), r.Status, r.Err)
				if r.Status == http.StatusAccepted {
					mu.Lock()
					jobs = append(jobs, id)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return jobs
}

func submission(job string) []byte {
	var b bytes.Buffer
	text := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("b"), bodyBytes))
	b.WriteString(`{"requests":[`)
	for i := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"%s-%d","path":"/batch/x/%d","headers":{"Model":"m"},"body":"%s","tokens":900}`, job, i, i, text)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// listed returns the number of results that a VM lists, 0 for a job that it can't read.
func listed(s *harness.Site, vm *harness.VM, jobs []string) int {
	done := 0
	for _, id := range jobs {
		r := vm.Call(http.MethodGet, harness.Names["results"]+id+"?after=0", "", nil, 2*time.Second)
		var page struct{ Next int }
		if r.Err != nil || json.Unmarshal([]byte(r.Body), &page) != nil {
			s.Record.Add("job %s isn't read: status %d %v", id, r.Status, r.Err)
			if r.Err != nil {
				return done
			}
		}
		done += page.Next
	}
	return done
}
