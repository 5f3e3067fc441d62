// Package pacer measures how fast the upstreams of each service answer and derives
// timeouts for upstreams that make no progress. It performs no I/O.
//
// A fixed timeout cannot distinguish a lost upstream from an overloaded one. An
// attempt that is ended too early must be repeated elsewhere, just when all upstreams
// are full; one that is ended too late misses its deadline.
package pacer

import (
	"sync"
	"time"
)

const (
	// MaxTimeout is the longest wait for any upstream. It alone applies where
	// a request cannot fail over to another upstream, or nothing is known of its service.
	MaxTimeout = 10 * time.Second
	// FirstEventTimeout is how long to wait for the first event of a stream from an
	// upstream that shows no other activity.
	FirstEventTimeout = 1200 * time.Millisecond
	// eventGapFactor is the timeout for a further event, as a multiple of the mean time
	// between events. minEventGapTimeout is its lower bound, which covers the pause
	// caused by the long prompt of another request.
	minEventGapTimeout = 600 * time.Millisecond
	eventGapFactor     = 20
	// minAnswerTimeout and answerFactor are the same for plain answers.
	minAnswerTimeout = 250 * time.Millisecond
	answerFactor     = 8
	// meanWeight is the weight of a new value in a moving average.
	meanWeight = 0.02
)

// Pacer holds the measurements of this VM's requests.
type Pacer struct {
	mu              sync.Mutex
	meanGaps        map[string]time.Duration // between events, by service
	meanAnswerTimes map[string]time.Duration // until a plain answer, by service
	lastActivity    map[string]time.Time     // time of the last event or answer, by upstream
}

// New returns a pacer without measurements.
func New() *Pacer {
	return &Pacer{
		meanGaps: map[string]time.Duration{}, meanAnswerTimes: map[string]time.Duration{},
		lastActivity: map[string]time.Time{},
	}
}

// RecordEvent records an event and the time since the previous one of its stream; 0
// for the first.
func (p *Pacer) RecordEvent(service, upstream string, gap time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastActivity[upstream] = now
	if gap > 0 {
		updateMean(p.meanGaps, service, gap)
	}
}

// RecordAnswer records a plain answer and the time that it took.
func (p *Pacer) RecordAnswer(service, upstream string, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastActivity[upstream] = now
	updateMean(p.meanAnswerTimes, service, took)
}

func updateMean(means map[string]time.Duration, service string, value time.Duration) {
	mean, found := means[service]
	if !found {
		means[service] = value
		return
	}
	means[service] = mean + time.Duration(meanWeight*float64(value-mean))
}

// EventGapTimeout returns how long to wait for a further event of a stream.
func (p *Pacer) EventGapTimeout(service string) time.Duration {
	return p.timeout(p.meanGaps, service, eventGapFactor, minEventGapTimeout)
}

// AnswerTimeout returns how long to wait for a plain answer.
func (p *Pacer) AnswerTimeout(service string) time.Duration {
	return p.timeout(p.meanAnswerTimes, service, answerFactor, minAnswerTimeout)
}

// timeout returns a multiple of a service's mean, within bounds.
func (p *Pacer) timeout(
	means map[string]time.Duration, service string, factor int, minimum time.Duration,
) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, found := means[service]
	if !found {
		return MaxTimeout
	}
	return min(max(time.Duration(factor)*mean, minimum), MaxTimeout)
}

// IsResponsive reports whether an upstream has answered any request of this VM since a
// given time.
func (p *Pacer) IsResponsive(upstream string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastActivity[upstream].After(since)
}

// RetainUpstreams discards the state of all upstreams except the given ones.
func (p *Pacer) RetainUpstreams(upstreams map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.lastActivity {
		if !upstreams[id] {
			delete(p.lastActivity, id)
		}
	}
}
