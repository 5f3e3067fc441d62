// Package pacer knows how fast the upstreams of a service answer, and tells from that
// how long one that has fallen silent is waited for. It has no network.
//
// A fixed time can't tell an upstream that has gone from one that is full. What has
// been given up too early must be begun again elsewhere, just when all are full; what
// is given up too late misses its deadline.
package pacer

import (
	"sync"
	"time"
)

const (
	// MaxTimeout is how long any upstream is waited for. It holds alone where a
	// request can't go on elsewhere, or nothing is known of its service.
	MaxTimeout = 10 * time.Second
	// FirstEventTimeout is how long the first event of a stream is waited for at an
	// upstream that shows no other sign of life.
	FirstEventTimeout = 1200 * time.Millisecond
	// minGapPatience and gapsPatience are how long a further event is waited for: so
	// many times the mean time between events, but through the pause that a long
	// prompt of another request makes.
	minGapPatience = 600 * time.Millisecond
	gapsPatience   = 20
	// minAnswerPatience and answersPatience are the same for plain answers.
	minAnswerPatience = 250 * time.Millisecond
	answersPatience   = 8
	// meanWeight is the weight of a new time in a mean.
	meanWeight = 0.02
)

// Pacer has the means of this VM's requests.
type Pacer struct {
	mu      sync.Mutex
	gaps    map[string]time.Duration // between events, by service
	answers map[string]time.Duration // until a plain answer, by service
	lively  map[string]time.Time     // when an upstream last gave an event or answer
}

// New returns a pacer that knows nothing.
func New() *Pacer {
	return &Pacer{
		gaps: map[string]time.Duration{}, answers: map[string]time.Duration{}, lively: map[string]time.Time{},
	}
}

// RecordEvent takes in an event that came so long after the one before; 0 for the first.
func (p *Pacer) RecordEvent(service, upstream string, gap time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lively[upstream] = now
	if gap > 0 {
		learn(p.gaps, service, gap)
	}
}

// RecordAnswer takes in a plain answer that took so long.
func (p *Pacer) RecordAnswer(service, upstream string, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lively[upstream] = now
	learn(p.answers, service, took)
}

func learn(means map[string]time.Duration, service string, took time.Duration) {
	mean, found := means[service]
	if !found {
		means[service] = took
		return
	}
	means[service] = mean + time.Duration(meanWeight*float64(took-mean))
}

// EventGapTimeout returns how long a further event of a stream is waited for.
func (p *Pacer) EventGapTimeout(service string) time.Duration {
	return p.patience(p.gaps, service, gapsPatience, minGapPatience)
}

// AnswerTimeout returns how long a plain answer is waited for.
func (p *Pacer) AnswerTimeout(service string) time.Duration {
	return p.patience(p.answers, service, answersPatience, minAnswerPatience)
}

// patience returns so many times a service's mean, within bounds.
func (p *Pacer) patience(
	means map[string]time.Duration, service string, times int, least time.Duration,
) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, found := means[service]
	if !found {
		return MaxTimeout
	}
	return min(max(time.Duration(times)*mean, least), MaxTimeout)
}

// IsResponsive tells whether an upstream has answered any request of this VM since a
// moment.
func (p *Pacer) IsResponsive(upstream string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lively[upstream].After(since)
}

// RetainUpstreams forgets all upstreams but these.
func (p *Pacer) RetainUpstreams(upstreams map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.lively {
		if !upstreams[id] {
			delete(p.lively, id)
		}
	}
}
