// Command case9 submits jobs of legal size whose items have many short header lines, and watches the memory of
// the VM.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
	"github.com/fescuespindle/fescuespindle/review/_standins2/harness"
)

const (
	vmCount     = 3
	serverCount = 3
	serverSlots = 8
	jobs        = 40
	items       = 100
	// lines is the number of header lines of an item, of 7 bytes on the wire at most: 14,000 bytes of the 16,384
	// that a head may have.
	lines     = 2000
	lineBytes = 9 // in the job's JSON
	events    = 20
	eventGap  = 200 * time.Millisecond
	watchTime = 20 * time.Second
)

func main() { harness.Run(run) }

func run(s *harness.Site) (int, error) {
	vms, err := start(s)
	if err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	guard := s.Guard(vms...)
	ordinary := ordinaryJob()
	r := vms[0].Call(http.MethodPost, harness.Names["submission"], "ordinary", bytes.NewReader(ordinary), 4*time.Second)
	s.Record.Add("%s: an ordinary job: status %d %v", vms[0].Name, r.Status, r.Err)
	if r.Status != http.StatusAccepted {
		return 0, fmt.Errorf("status %d of an ordinary job", r.Status)
	}
	for k := range jobs {
		id := fmt.Sprintf("lot%d", k)
		body := submission(id, s.Trouble)
		for n := range vms { // as callers do, until one accepts it
			vm := vms[(k+n)%len(vms)]
			r := vm.Call(http.MethodPost, harness.Names["submission"], id, bytes.NewReader(body), 6*time.Second)
			s.Record.Add("%s: job %s of %d bytes: status %d %v", vm.Name, id, len(body), r.Status, r.Err)
			if r.Status == http.StatusAccepted {
				break
			}
		}
	}
	time.Sleep(watchTime)
	broken := guard.Stop()
	for _, vm := range vms {
		r := vm.Call(http.MethodGet, harness.Names["results"]+"ordinary?after=0", "", nil, 2*time.Second)
		var page struct{ Next int }
		_ = json.Unmarshal([]byte(r.Body), &page) //nolint:errcheck // 0 then
		s.Record.Add("%s: %d results of the ordinary job: status %d %v", vm.Name, page.Next, r.Status, r.Err)
	}
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

// ordinaryJob returns a job whose items run.
func ordinaryJob() []byte {
	var b bytes.Buffer
	b.WriteString(`{"requests":[`)
	for i := range 10 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"ordinary-%d","path":"/batch/x/%d","headers":{"Model":"m"},"body":"q83vEjRWeJA=","tokens":600}`, i, i)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// submission returns a job whose items have many header lines, or bodies of the same size.
func submission(job string, trouble bool) []byte {
	var b bytes.Buffer
	b.WriteString(`{"requests":[`)
	for i := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"%s-%d","path":"/batch/x/%d","headers":{"Model":"m"`, job, i, i)
		body := 8
		if trouble {
			for l := range lines {
				fmt.Fprintf(&b, `,"%s":""`, "x"+strconv.FormatInt(int64(l), 36))
			}
		} else {
			body = lines * lineBytes * 3 / 4
		}
		fmt.Fprintf(&b, `},"body":"%s","tokens":600}`, base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("b"), body)))
	}
	b.WriteString(`]}`)
	return b.Bytes()
}
