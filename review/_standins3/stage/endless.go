package main

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["endless"] = endless }

// endlessServer is a server that for a time answers with bytes without end.
type endlessServer struct {
	sound   http.Handler
	until   atomic.Int64 // Unix nanoseconds
	answers atomic.Int64 // without end
}

// ServeHTTP implements http.Handler.
func (e *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if time.Now().UnixNano() >= e.until.Load() {
		e.sound.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.answers.Add(1)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	text := []byte("data: " + strings.Repeat("\u00a6", 2000) + "\n\n")
	for {
		if _, err := w.Write(text); err != nil {
			return // the caller has closed
		}
	}
}

// endless hands in a submission while one of two servers answers with bytes without end for some seconds. It judges MIXED:
// an item is errored though no server has answered 422 or 500 for it, and retention_s is not over.
func endless(s *stage) (bool, error) {
	const events, troubleTime = 130, 5500 * time.Millisecond
	first, second := model("lm0", events, 20*time.Millisecond), model("lm1", events, 20*time.Millisecond)
	bad := &endlessServer{sound: second}
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
		bad.until.Store(time.Now().Add(troubleTime).UnixNano())
		s.logf("lm1 answers without end for %v", troubleTime)
	}
	job := newSubmission(30, ordinaryBody)
	if s.vms[0].submit(job) != http.StatusAccepted {
		return false, errNotRun
	}
	began := time.Now()
	var p page
	for len(p.Results) < len(job.items) && time.Since(began) < 40*time.Second {
		time.Sleep(500 * time.Millisecond)
		_, p = s.vms[1].results(job.id)
	}
	whole, errored, other := 0, 0, 0
	for _, r := range p.Results {
		switch {
		case r.State == "errored":
			errored++
		case r.State == "completed" && r.Output == wholeOutput(r.ID, events):
			whole++
		default:
			other++
		}
		s.logf("LISTED %s %s, %d bytes", r.ID, r.State, len(r.Output))
	}
	s.logf("RAN %d times at lm0, %d at lm1 and %d answers of lm1 without end; answers of 422 or 500: none", len(first.Runs()), len(second.Runs()), bad.answers.Load())
	s.logf("after %.1f s (retention_s is 90): %d of %d listed, %d whole, %d errored, %d of another text", time.Since(began).Seconds(), len(p.Results), len(job.items), whole, errored, other)
	if s.trouble && bad.answers.Load() == 0 {
		return false, errNotRun
	}
	return errored == 0 && other == 0, nil
}
