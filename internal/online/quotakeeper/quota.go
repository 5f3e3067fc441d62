// Package quotakeeper keeps the quotas of teams, which all VMs share: a number of requests per second
// and a burst. It performs no I/O and has no clock of its own.
//
// Each team has one keeper among the live VMs, the first by rendezvous hashing. Any VM admits a request
// at once, without asking, and reports it to the keeper, which counts it in a token bucket. When the bucket
// is empty, the keeper closes the team: it tells all VMs until when to reject its requests.
//
//	VM a, VM b:  admit a request, report  "a has admitted 17", "b has admitted 4"
//	keeper:      counts both; answers     "17 counted, 12 tokens left", ...
//	keeper:      counts the last token;   "closed for 400 ms", to one VM of each domain, which tells the others
//
// So what is admitted beyond the quota is what arrives within the delay of messages. Reports have
// totals, which makes up for lost ones. Each report to another keeper also carries what the last one
// has said, so a team's keeper can change at any time. See docs/design/quotas.md for the bounds.
package quotakeeper

import (
	"math"
	"time"
)

const (
	// reserveShare is the share of the excess that a keeper allows a team beyond its quota, so that no
	// request below the quota is rejected. The rest is for requests of which it hears late.
	reserveShare = 1.0 / 4
	// startShare is the share of the excess that a keeper allows a team of which it knows nothing yet.
	startShare = 0.7
	// minCapacity lets a team with a very small quota, or a part of one, run a few requests at a time.
	minCapacity = 3
	// maxPerSecond and maxBurst replace larger values, up to infinity, which differ from no limit in
	// nothing but the rounding errors that they cause.
	maxPerSecond = 1e9
	maxBurst     = 1e9
	// maxWait bounds the time for which a team is closed.
	maxWait = time.Minute
)

// Terms define how exactly quotas must be kept: in any Window, all VMs together may run what a quota
// allows, times 1 + Overage, plus Slack requests.
type Terms struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit is the quota of a team. A rate that is not positive means that it has none.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// isSet returns whether there is a limit. NaN means none.
func (l Limit) isSet() bool { return l.PerSecond > 0 }

// bounded replaces values that can't be calculated with.
func (l Limit) bounded() Limit {
	if math.IsNaN(l.Burst) {
		l.Burst = 0
	}
	return Limit{PerSecond: min(l.PerSecond, maxPerSecond), Burst: min(max(l.Burst, 0), maxBurst)}
}

// excess returns by how many requests a team may exceed its quota in a window.
func (t Terms) excess(l Limit) float64 {
	return (l.PerSecond*t.Window.Seconds()+l.Burst)*t.Overage + t.Slack
}

// reserve returns the part of the excess that a keeper allows a team.
func (t Terms) reserve(l Limit) float64 { return reserveShare * t.excess(l) }

// bucket is the token bucket of a team. It holds the burst and the reserve.
type bucket struct {
	limit    Limit
	capacity float64
	reserve  float64
	start    float64 // tokens at the beginning
	maxDebt  float64
	share    float64 // of the quota that the bucket is filled with
	tokens   float64
	filledAt time.Time
}

// set sets the limit and the part of it that the bucket is filled with from now on. VMs that lose touch
// divide the tokens, and the debt, in proportion to their shares.
func (b *bucket) set(l Limit, t Terms, share float64) {
	fullness := b.fullness()
	b.limit, b.share, b.reserve = l, share, t.reserve(l)*share
	b.capacity = max(l.Burst*share+b.reserve, minCapacity)
	b.start = min(max(startShare*t.excess(l)*share, minCapacity), b.capacity)
	b.maxDebt = t.excess(l) + l.PerSecond*t.Window.Seconds()
	b.tokens = fullness * b.capacity
}

// fullness returns the ratio of the tokens to the capacity.
func (b *bucket) fullness() float64 {
	if b.capacity == 0 {
		return 0
	}
	return b.tokens / b.capacity
}

// perSecond returns the rate at which the bucket is filled.
func (b *bucket) perSecond() float64 { return b.limit.PerSecond * b.share }

// fill adds the tokens since the last call.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.tokens = min(b.tokens+b.perSecond()*elapsed, b.capacity)
		b.filledAt = now
	}
}

// take removes tokens, or returns some if n is negative. The debt is bounded, so that wrong reports do
// no lasting harm.
func (b *bucket) take(n float64) { b.tokens = min(max(b.tokens-n, -b.maxDebt), b.capacity) }

// timeUntil returns how long it takes until the bucket has a number of tokens.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	seconds := (min(tokens, b.capacity) - b.tokens) / b.perSecond()
	if !(seconds < maxWait.Seconds()) { // infinite, or not a number
		return maxWait
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}
