package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

func init() { cases["unloadable"] = unloadable }

// spoilingServer is a server that spoils some answers: the numbers of their events are wrong bytes.
type spoilingServer struct {
	sound   http.Handler
	counter *spoiledCounter
}

// ServeHTTP implements http.Handler.
func (g *spoilingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if !g.counter.isSpoiled(id) {
		g.sound.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range spoilEvents {
		time.Sleep(spoilGap)
		text := strings.Replace(standin.EventText(id, n+1), fmt.Sprintf("id: %d\n", n+1), "id: \x8e\xa7\n", 1)
		if _, err := io.WriteString(w, text); err != nil || control.Flush() != nil {
			return
		}
	}
}

// Half of the servers spoil one answer in spoilEvery, for spoilTime.
const (
	spoilServers = 6
	spoilEvery   = 40
	spoilTime    = 5 * time.Second
	spoilEvents  = 130
	spoilGap     = 20 * time.Millisecond
)

// spoiledCounter counts the answers of all servers that spoil some, so that their share is exact.
type spoiledCounter struct {
	mu      sync.Mutex
	until   time.Time
	answers int
	spoiled map[string]bool // IDs of the requests
}

// isSpoiled counts an answer and returns whether it is spoiled.
func (c *spoiledCounter) isSpoiled(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.until) {
		return false
	}
	c.answers++
	if c.answers%spoilEvery != spoilEvery/2 {
		return false
	}
	c.spoiled[id] = true
	return true
}

// unloadable hands in a submission while half of the servers spoil one of 40 answers, and kills one VM a second after that.
// It judges LOST at the end of finish_s.
func unloadable(s *stage) (bool, error) {
	counter := &spoiledCounter{spoiled: map[string]bool{}}
	servers := make([]*standin.Upstream, spoilServers)
	for n := range servers {
		servers[n] = model(fmt.Sprintf("lm%d", n), spoilEvents, spoilGap)
		var handler http.Handler = servers[n]
		if n%2 == 1 {
			handler = &spoilingServer{sound: handler, counter: counter}
		}
		if err := s.addServer(servers[n].ID(), "lm", 8, handler); err != nil {
			return false, err
		}
	}
	for range 3 {
		if _, err := s.addVM(334); err != nil {
			return false, err
		}
	}
	if s.trouble {
		counter.until = time.Now().Add(spoilTime)
		s.logf("lm1, lm3 and lm5 spoil one of %d answers for %v", spoilEvery, spoilTime)
	}
	job := newSubmission(200, ordinaryBody)
	if s.vms[0].submit(job) != http.StatusAccepted {
		return false, errNotRun
	}
	time.Sleep(spoilTime + time.Second)
	if s.trouble {
		s.vms[0].kill()
		s.logf("KILL %s, which starts again", s.vms[0].name)
	}
	// Traffic ends now, and finish_s (18 s) begins; the judgement waits longer than that.
	began, finished := time.Now(), time.Now()
	var p page
	for time.Since(began) < 30*time.Second && len(p.Results) < len(job.items) {
		time.Sleep(500 * time.Millisecond)
		if _, next := s.vms[1].results(job.id); len(next.Results) > len(p.Results) {
			finished, p = time.Now(), next
		}
	}
	listed := map[string]bool{}
	for _, r := range p.Results {
		listed[r.ID] = true
		s.logf("LISTED %s %s, %d bytes, its answer was spoiled %t", r.ID, r.State, len(r.Output), counter.spoiled[r.ID])
	}
	for _, v := range s.vms {
		v.quote(`"outcome":"corrupt"`)
	}
	running, sound := 0, 0
	for _, u := range servers {
		running += u.Running()
		s.logf("RAN %d times at %s", len(u.Runs()), u.ID())
	}
	for _, item := range job.items {
		if !listed[item] && !counter.spoiled[item] {
			sound++
			s.logf("NOT LISTED %s", item)
		}
	}
	s.logf("spoiled answers: %d of %d of these servers; servers at work on %d places of %d", len(counter.spoiled), counter.answers, running, 8*spoilServers)
	s.logf("%.1f s after the end of traffic: %d of %d listed, and nothing for %.1f s; not listed though no answer for them was spoiled: %d",
		time.Since(began).Seconds(), len(p.Results), len(job.items), time.Since(finished).Seconds(), sound)
	if s.trouble && len(counter.spoiled) == 0 {
		return false, errNotRun
	}
	isLost := sound > 0 && running == 0 && time.Since(finished) > 5*time.Second
	return !isLost, nil
}
