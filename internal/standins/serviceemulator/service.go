// Package serviceemulator is a small stand-in for a plain service beside the
// engines. It counts how often each call ran, so that tests can tell a call
// that ran twice.
package serviceemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// PathAdminCounts answers how often each call ran.
const PathAdminCounts = "/admin/counts"

const maxBody = 1 << 20

// Service is one service stand-in; it serves HTTP.
type Service struct {
	name  string
	delay time.Duration

	mu       sync.Mutex
	leaving  bool
	dropNext int
	runs     map[string]int
}

// Option sets one property of a Service.
type Option func(*Service)

// WithDelay sets how long each call takes.
func WithDelay(d time.Duration) Option { return func(s *Service) { s.delay = d } }

// New returns a service.
func New(name string, options ...Option) *Service {
	s := &Service{name: name, runs: map[string]int{}}
	for _, option := range options {
		option(s)
	}
	return s
}

// Answer is what the service answers to a call that ran.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Run     int    `json:"run"`
}

// DropAnswers makes the next n calls run and lose their answer.
func (s *Service) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropNext = n
}

// Runs returns how often a call with the body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// MaxRuns returns the largest number of runs of any one body.
func (s *Service) MaxRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, runs := range s.runs {
		most = max(most, runs)
	}
	return most
}

// ServeHTTP runs a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathAdminCounts:
		s.serveCounts(w)
		return
	case upstream.PathLoad:
		s.serveLoad(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.delay)
	run, drop := s.count(string(body))
	if drop {
		panic(http.ErrAbortHandler) // the call ran and its answer is lost
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	_ = json.NewEncoder(w).Encode(Answer{Service: s.name, Path: r.URL.Path, Body: string(body), Run: run})
}

func (s *Service) count(body string) (run int, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
	if s.dropNext > 0 {
		s.dropNext--
		return s.runs[body], true
	}
	return s.runs[body], false
}

func (s *Service) serveCounts(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(upstream.LoadReport{Leaving: s.leaving, At: time.Now(), Role: upstream.RoleServing})
}
