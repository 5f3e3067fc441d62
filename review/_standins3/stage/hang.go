package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
)

func init() { cases["hang"] = hang }

// crowd is clients that nobody controls. Each sends one request of legal size after another, on a new channel.
type crowd struct {
	stop     chan struct{}
	clients  sync.WaitGroup
	sent     atomic.Int64
	answered atomic.Int64
}

const (
	crowdClients = 100
	crowdPeriod  = 4 * time.Second // between two requests of one client
	crowdTime    = 30 * time.Second
)

func (v *vm) startCrowd(text func() string) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for n := range crowdClients {
		c.clients.Go(func() {
			next := time.After(crowdPeriod * time.Duration(n) / crowdClients)
			for {
				select {
				case <-c.stop:
					return
				case <-next:
				}
				select {
				case <-c.stop: // both may have come
					return
				default:
				}
				next = time.After(crowdPeriod)
				c.ask(v, text())
			}
		})
	}
	return c
}

func (c *crowd) ask(v *vm, text string) {
	conn, err := net.DialTimeout("tcp", v.address(frontPort), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(crowdPeriod))
	c.sent.Add(1)
	if _, err := conn.Write([]byte(text)); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if headvalidator.Validate(response) == nil {
		c.answered.Add(1)
	}
}

// hang has a crowd of clients send requests of legal size with one odd header line, while an ordinary client asks. It
// judges CONFIG: of the ordinary requests that are unanswered at the route's timeout_ms (2,000), whether more than half
// have no answer half a second later.
func hang(s *stage) (bool, error) {
	server := desk("desk0")
	if err := s.addServer("desk0", "desk", 50, server); err != nil {
		return false, err
	}
	v, err := s.addVM(184)
	if err != nil {
		return false, err
	}
	const ordinary = 250 * time.Millisecond
	before := v.startCaller(ordinary)
	time.Sleep(5 * time.Second)
	calm := before.end()
	field := "Connection"
	if !s.trouble {
		field = "Accept"
	}
	line := field + ": " + strings.Repeat("a,", 7500) + "a"
	c := v.startCrowd(func() string {
		return fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", host, newID(), line)
	})
	s.logf("SENT by %d clients, each every %v: requests with a line %.14s... of %d bytes", crowdClients, crowdPeriod, line, len(line))
	cpu := v.cpu()
	during := v.startCaller(ordinary)
	checks, notReady := 0, 0
	for began := time.Now(); time.Since(began) < crowdTime; time.Sleep(time.Second) {
		checks++
		if !v.ready() {
			notReady++
		}
	}
	all := during.end()
	close(c.stop)
	c.clients.Wait()
	s.logf("crowd: %d sent, %d answered; processor time %v; not ready at %d of %d checks; %d ends; largest memory %d MB",
		c.sent.Load(), c.answered.Load(), v.cpu()-cpu, notReady, checks, v.endCount(), v.peakMB())
	const timeout, slack = 2 * time.Second, 500 * time.Millisecond
	unanswered, late := 0, 0
	for _, a := range all {
		if a.answered == 0 || a.answered > timeout {
			unanswered++
		}
		if a.answered == 0 || a.answered > timeout+slack {
			late++
		}
	}
	s.logf("ordinary requests before the crowd: %d, %d with success in time; during: %d, %d with success in time", len(calm),
		answeredOK(calm, timeout), len(all), answeredOK(all, timeout))
	s.logf("unanswered at timeout_ms: %d; of these without an answer half a second later: %d", unanswered, late)
	if answeredOK(calm, timeout) < len(calm) {
		return false, errNotRun
	}
	return !(unanswered >= 8 && late*2 > unanswered), nil
}
