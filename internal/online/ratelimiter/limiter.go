// Package ratelimiter keeps the rate limits that upstreams name in their answers: a number
// of requests per second from all VMs together. It performs no I/O and has no clock of its
// own.
//
// A few VMs, the holders of an upstream, share its limit, and all others send it nothing
// while it has one. Each holder has a token bucket that is filled with the whole limit, and
// takes a token for each request of its own and for each that another holder reports. So a
// report that comes late or is lost makes a bucket owe tokens, instead of giving some away.
// While a holder is not heard from, the others leave its share to it:
//
//	limit 3 per second, holders A, B, C, all heard:    A fills with 3, less what B and C report
//	C is cut off from A and B, but not from upstreams: A and B fill with 2, C with 1
package ratelimiter

import (
	"maps"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

const (
	// MaxHolders is the largest number of VMs that share the limit of an upstream. Each may
	// take the last token before it hears that another one has.
	MaxHolders = 8
	// burstTime is how much of a limit a bucket can store, and minBurst the least number
	// of tokens, so that batch work can leave one to online requests.
	burstTime = time.Second
	minBurst  = 2
	// maxDebtTime bounds the tokens that a bucket can owe.
	maxDebtTime = 4 * time.Second
	// newsTime is how long a change is reported as news.
	newsTime = time.Second
	// hearsayTTL is how long a limit is kept that was only reported, and not again since.
	hearsayTTL = 2 * time.Minute
	// sentReportTime is how long after its last request the number of requests to an
	// upstream is reported.
	sentReportTime = 5 * time.Second
	// maxReported bounds the limits in one report.
	maxReported = 200
	// minPerSecond is kept in place of a lower limit, as only an answer can show that a
	// limit has ended.
	minPerSecond = 0.1
)

// Holders returns the VMs of the candidates that share the limit of an upstream. VMs with the
// same candidates agree.
func Holders(upstream string, candidates []string) []string {
	ordered := weigher.Order(upstream, candidates)
	return ordered[:min(len(ordered), MaxHolders)]
}

// Limit is the rate limit of an upstream, and the requests that this VM has sent it while it
// had one.
type Limit struct {
	PerSecond  float64 // 0 means no limit
	SentOnline uint64
	SentBatch  uint64
}

func (l Limit) sent() uint64 { return l.SentOnline + l.SentBatch }

// Group is how many VMs share a limit, and how many of them are heard from, this one included.
type Group struct {
	Size  int
	Heard int
}

// Process identifies a process of an upstream. A restarted one has named no limit yet.
type Process struct {
	Upstream string
	Start    int64
}

// bucket is the state of the limit of one upstream.
type bucket struct {
	processStart int64
	limit        Limit
	toldAt       time.Time // when an upstream said so, to this VM or another one
	refreshedAt  time.Time // when this VM last heard of it
	newsUntil    time.Time // until when peers must be told soon
	tokens       float64
	filledAt     time.Time
	lastSentAt   time.Time
	peerSent     map[string]uint64 // by VM
}

// Limiter holds the limits that one VM knows. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket // by upstream
}

// New returns a Limiter that knows no limits.
func New() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// RecordAnswer records the limit that an answer names, or 0 for none, given when its request
// was sent. It returns the previous limit, and whether this is another one.
//
// Answers can arrive out of order, so one without a limit counts only if its request was sent
// after the limit was last named.
func (l *Limiter) RecordAnswer(p Process, perSecond float64, sentAt, now time.Time) (previous Limit, changed bool) {
	b := l.current(p)
	switch {
	case b == nil && perSecond == 0:
		return Limit{}, false
	case b == nil:
		b = l.add(p)
	case b.processStart != p.Start: // a late answer of an earlier process
		return b.limit, false
	case perSecond == 0 && !sentAt.After(b.toldAt):
		return b.limit, false
	}
	previous, changed = b.set(perSecond, now, now)
	if changed {
		b.newsUntil = now.Add(newsTime)
	}
	return previous, changed
}

// current returns the bucket of a process of an upstream, or nil. It discards that of an
// earlier process.
func (l *Limiter) current(p Process) *bucket {
	b := l.buckets[p.Upstream]
	if b != nil && b.processStart < p.Start {
		delete(l.buckets, p.Upstream)
		return nil
	}
	return b
}

func (l *Limiter) add(p Process) *bucket {
	b := &bucket{processStart: p.Start, peerSent: map[string]uint64{}}
	l.buckets[p.Upstream] = b
	return b
}

// set records what an upstream has said of its limit.
func (b *bucket) set(perSecond float64, toldAt, now time.Time) (previous Limit, changed bool) {
	if perSecond > 0 {
		perSecond = max(perSecond, minPerSecond)
	}
	previous = b.limit
	b.toldAt, b.refreshedAt = toldAt, now
	if perSecond == previous.PerSecond {
		return previous, false
	}
	b.limit.PerSecond = perSecond
	b.tokens, b.filledAt = min(b.tokens, 0), now
	return previous, true
}

// IsLimited returns whether an upstream has a limit at present.
func (l *Limiter) IsLimited(upstream string) bool {
	b := l.buckets[upstream]
	return b != nil && b.limit.PerSecond > 0
}

// Allows returns whether a request may be sent to an upstream that has a limit and is
// shared by a group. Batch work leaves a token to online requests.
func (l *Limiter) Allows(upstream string, g Group, isBatch bool, now time.Time) bool {
	b := l.buckets[upstream]
	b.fill(g, now)
	if isBatch {
		return b.tokens >= minBurst
	}
	return b.tokens >= 1
}

// fill adds the tokens since the last call.
func (b *bucket) fill(g Group, now time.Time) {
	rate := b.limit.PerSecond * float64(g.Heard) / float64(g.Size)
	b.tokens += rate * now.Sub(b.filledAt).Seconds()
	b.tokens = min(b.tokens, max(b.limit.PerSecond*burstTime.Seconds(), minBurst))
	b.filledAt = now
}

// take removes tokens. The debt is bounded, so that wrong reports do no lasting harm.
func (b *bucket) take(n float64) {
	b.tokens = max(b.tokens-n, -b.limit.PerSecond*maxDebtTime.Seconds())
}

// RecordSend records a request of this VM to an upstream, with or without a limit.
func (l *Limiter) RecordSend(upstream string, isBatch bool, now time.Time) {
	b := l.buckets[upstream]
	if b == nil || b.limit.PerSecond == 0 {
		return
	}
	b.lastSentAt = now
	b.take(1)
	if isBatch {
		b.limit.SentBatch++
	} else {
		b.limit.SentOnline++
	}
}

// Sent returns how many requests this VM has sent to each upstream with a limit, as far as
// peers must be told.
func (l *Limiter) Sent(now time.Time) map[string]uint64 {
	sent := map[string]uint64{}
	for id, b := range l.buckets {
		if b.limit.sent() > 0 && now.Sub(b.lastSentAt) < sentReportTime {
			sent[id] = b.limit.sent()
		}
	}
	return sent
}

// ReceiveSent records what another VM has sent, as its Sent returns it.
func (l *Limiter) ReceiveSent(vm string, sent map[string]uint64) {
	for id, total := range sent {
		b := l.buckets[id]
		if b == nil || b.limit.PerSecond == 0 {
			continue
		}
		n := total
		if before, known := b.peerSent[vm]; known && before <= total {
			n = total - before
		} else {
			n = min(n, minBurst) // most of them are likely older than what this VM knows
		}
		b.peerSent[vm] = total
		b.take(float64(n))
	}
}

// Retain discards the limits of upstreams other than the given ones.
func (l *Limiter) Retain(keep func(p Process) bool) {
	maps.DeleteFunc(l.buckets, func(id string, b *bucket) bool { return !keep(Process{id, b.processStart}) })
}
