package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["empty"] = empty }

// garblingServer is a server that for a time replaces the body of one answer in every by wrong bytes.
type garblingServer struct {
	sound http.Handler
	every int

	mu      sync.Mutex
	until   time.Time
	answers int
	wrong   map[string]bool // IDs of the requests that got wrong bytes
}

// ServeHTTP implements http.Handler.
func (g *garblingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	g.mu.Lock()
	g.answers++
	isWrong := time.Now().Before(g.until) && g.answers%g.every == g.every/2
	if isWrong {
		g.wrong[id] = true
	}
	g.mu.Unlock()
	if !isWrong {
		g.sound.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "\x8e\x11\xa7\xe0 wrong bytes\n\n")
}

// empty hands in a submission while one of two servers hands out wrong bytes in one of 40 answers. It judges MIXED: a result
// is completed and its text isn't the item's whole output.
func empty(s *stage) (bool, error) {
	const events, troubleTime = 30, 5 * time.Second
	first, second := model("lm0", events, 20*time.Millisecond), model("lm1", events, 20*time.Millisecond)
	bad := &garblingServer{sound: second, every: 40, wrong: map[string]bool{}}
	if err := s.addServer("lm0", "lm", 8, first); err != nil {
		return false, err
	}
	if err := s.addServer("lm1", "lm", 8, bad); err != nil {
		return false, err
	}
	for range 2 {
		if _, err := s.addVM(334); err != nil {
			return false, err
		}
	}
	if s.trouble {
		bad.until = time.Now().Add(troubleTime)
		s.logf("lm1 hands out wrong bytes in one of %d answers for %v", bad.every, troubleTime)
	}
	job := newSubmission(200, ordinaryBody)
	if s.vms[0].submit(job) != http.StatusAccepted {
		return false, errNotRun
	}
	began := time.Now()
	var p page
	for len(p.Results) < len(job.items) && time.Since(began) < 40*time.Second {
		time.Sleep(500 * time.Millisecond)
		_, p = s.vms[1].results(job.id)
	}
	whole, other := 0, 0
	for _, r := range p.Results {
		isWhole := r.State == "completed" && r.Output == wholeOutput(r.ID, events)
		if isWhole {
			whole++
		} else {
			other++
		}
		bad.mu.Lock()
		s.logf("LISTED %s %s, %d bytes, whole %t, wrong bytes were handed out for it %t", r.ID, r.State, len(r.Output), isWhole, bad.wrong[r.ID])
		bad.mu.Unlock()
	}
	s.logf("RAN %d times at lm0, %d at lm1; %d answers of lm1 with wrong bytes of %d", len(first.Runs()), len(second.Runs()), len(bad.wrong), bad.answers)
	s.logf("after %.1f s: %d of %d listed, %d whole, %d not", time.Since(began).Seconds(), len(p.Results), len(job.items), whole, other)
	if s.trouble && len(bad.wrong) == 0 || len(p.Results) < len(job.items) {
		return false, errNotRun
	}
	return other == 0, nil
}
