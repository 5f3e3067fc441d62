// Package serviceemulator is a stand-in for a plain service. It counts how often
// each call ran, so that tests detect a call that ran twice.
package serviceemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// PathAdminCounts is the path of the number of runs by call body, in JSON.
const PathAdminCounts = "/admin/counts"

const maxBody = 1 << 20

// Service is a service stand-in. It implements http.Handler.
type Service struct {
	name  string
	delay time.Duration

	mu              sync.Mutex
	draining        bool
	responsesToDrop int            // number of next calls whose response is lost
	runs            map[string]int // by call body
}

// Option configures a Service.
type Option func(*Service)

// WithDelay sets the duration of each call.
func WithDelay(d time.Duration) Option { return func(s *Service) { s.delay = d } }

// New returns a service.
func New(name string, options ...Option) *Service {
	s := &Service{name: name, runs: map[string]int{}}
	for _, option := range options {
		option(s)
	}
	return s
}

// Answer is the JSON response to a call. Run is 1 for the first run of its body.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Run     int    `json:"run"`
}

// DropAnswers makes the next n calls run and abort their connection instead of
// responding.
func (s *Service) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// Runs returns the number of times that a call with the body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// MaxRuns returns the largest number of runs of any one call body.
func (s *Service) MaxRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	maximum := 0
	for _, runs := range s.runs {
		maximum = max(maximum, runs)
	}
	return maximum
}

// ServeHTTP runs a call, or serves the load report or the counts.
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
		panic(http.ErrAbortHandler) // the call ran; abort the connection without a response
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	_ = json.NewEncoder(w).Encode(Answer{Service: s.name, Path: r.URL.Path, Body: string(body), Run: run})
}

// count counts a run of a call and returns its number, and whether to lose its
// response.
func (s *Service) count(body string) (run int, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
	if s.responsesToDrop > 0 {
		s.responsesToDrop--
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
	_ = json.NewEncoder(w).Encode(upstream.LoadReport{Leaving: s.draining, At: time.Now(), Role: upstream.RoleServing})
}
