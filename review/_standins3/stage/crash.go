package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["readers"] = readers
}

// machines is how many VMs the cases of memory have, and their memory that of the smallest of lirub-roam-grown.
const (
	machines = 4
	memoryMB = 184
)

// startMachines starts the servers and VMs of a case of memory, and an ordinary client at each VM.
func startMachines(s *stage) ([]*caller, error) {
	if err := s.addServer("desk0", "desk", 50, desk("desk0")); err != nil {
		return nil, err
	}
	for _, id := range []string{"lm0", "lm1"} {
		if err := s.addServer(id, "lm", 8, model(id, 130, 20*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	var callers []*caller
	for range machines {
		v, err := s.addVM(memoryMB)
		if err != nil {
			return nil, err
		}
		callers = append(callers, v.startCaller(500*time.Millisecond))
	}
	return callers, nil
}

// judgeEnds judges Fault: on a tenth of the machines (two at least) processes end three times, where memory over the limit
// counts.
func judgeEnds(s *stage, callers []*caller) bool {
	often := 0
	for n, v := range s.vms {
		all := callers[n].end()
		s.logf("%s: %d ends, largest memory %d MB of %d; ordinary requests: %d, %d with success", v.name, v.endCount(), v.peakMB(), v.memoryMB,
			len(all), answeredOK(all, patience))
		if v.endCount() >= 3 {
			often++
		}
	}
	s.logf("machines whose processes have ended three times: %d of %d", often, len(s.vms))
	return often < 2
}

func (s *stage) endedOften() int {
	often := 0
	for _, v := range s.vms {
		if v.endCount() >= 3 {
			often++
		}
	}
	return often
}

// readers reads the body of an accepted item with clients that read slowly.
func readers(s *stage) (bool, error) {
	callers, err := startMachines(s)
	if err != nil {
		return false, err
	}
	body := strings.Repeat("q83vEjRWeJAA", 300_000) // base64 of 2.7 MB, within max_body_bytes
	job := newSubmission(1, body)
	if s.vms[0].submit(job) != http.StatusAccepted {
		return false, errNotRun
	}
	const clients, interval, pause = 70, 100 * time.Millisecond, 500 * time.Millisecond
	for round := range 10 {
		if s.endedOften() >= 2 {
			break
		}
		v := s.vms[round%2]
		var group sync.WaitGroup
		var mu sync.Mutex
		whole, cut, before := 0, 0, v.endCount()
		for range clients {
			if v.endCount() > before {
				break // the platform has killed the process
			}
			time.Sleep(interval)
			group.Go(func() {
				ok := s.readBody(v, job, len(body)/4*3, pause)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					whole++
				} else {
					cut++
				}
			})
		}
		group.Wait()
		s.logf("ASKED %s for the body of item %s by %d clients: %d got it whole, %d not", v.name, job.items[0], whole+cut, whole, cut)
		time.Sleep(time.Second)
	}
	return judgeEnds(s, callers), nil
}

// readBody reads the body of an item, with the disruption 64 KB and a pause at a time for 8 s, and returns whether it came whole.
func (s *stage) readBody(v *vm, job submission, length int, pause time.Duration) bool {
	conn, err := net.DialTimeout("tcp", v.address(frontPort), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET %s%s?id=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", s.names.Bodies, job.id, job.items[0], host); err != nil {
		return false
	}
	if s.trouble {
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10) //nolint:errcheck // a *net.TCPConn
	}
	buffer, total := make([]byte, 64<<10), 0
	for began := time.Now(); time.Since(began) < 8*time.Second; {
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		n, err := conn.Read(buffer)
		total += n
		if err != nil {
			return total > length
		}
		if s.trouble {
			time.Sleep(pause)
		}
	}
	return false
}
