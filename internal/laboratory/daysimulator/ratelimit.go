package daysimulator

import "time"

// RateLimits makes some engines name a rate limit in their answers for a while. The zero
// value makes none do so.
type RateLimits struct {
	// Share is the share of the engines that name one.
	Share float64
	// Factor is the limit as a factor of the mean rate of streams per engine.
	Factor float64
	// From and Until are the times between which the limits are named.
	From, Until time.Duration
}

const (
	// limitWindow is the time over which the requests to an engine are counted.
	limitWindow = 4 * time.Second
	// limitTolerance and limitBurst are the factor and the number of requests by which an
	// engine may get more than it accepts within limitWindow.
	limitTolerance = 1.5
	limitBurst     = 5
	// limitNoticeTime is how long after From requests are not yet counted.
	limitNoticeTime = time.Second
)

// rateLimit is the rate limit of one engine and the requests that it got meanwhile.
type rateLimit struct {
	perSecond   float64 // while it is named
	from, until time.Duration
	arrivals    []time.Duration
}

// current returns the rate limit that an answer names; 0 for none.
func (l *rateLimit) current(now time.Duration) float64 {
	if now < l.from || now >= l.until {
		return 0
	}
	return l.perSecond
}

// recordArrival records a request.
func (l *rateLimit) recordArrival(now time.Duration) {
	if l.current(now) > 0 && now >= l.from+limitNoticeTime {
		l.arrivals = append(l.arrivals, now)
	}
}

// excess returns by how many requests at most the bound of a window was exceeded.
func (l *rateLimit) excess() int {
	bound := int(limitTolerance*l.perSecond*limitWindow.Seconds()) + limitBurst
	most, first := 0, 0
	for last, at := range l.arrivals {
		for l.arrivals[first] < at-limitWindow {
			first++
		}
		most = max(most, last-first+1-bound)
	}
	return most
}

// usedShare returns how much of the limit was used.
func (l *rateLimit) usedShare() float64 {
	return float64(len(l.arrivals)) / (l.perSecond * (l.until - l.from - limitNoticeTime).Seconds())
}

// assignRateLimits makes engines of all domains name a rate limit.
func (s *simulator) assignRateLimits() {
	limits := s.day.RateLimits
	limited := 0
	for n, e := range s.engines {
		if float64(limited) >= limits.Share*float64(n+1) {
			continue
		}
		limited++
		rate := s.day.Streams(0) / float64(len(s.engines))
		e.rateLimit = rateLimit{perSecond: limits.Factor * rate, from: limits.From, until: limits.Until}
	}
}

// recordRateLimits adds how the rate limits were kept to the result.
func (s *simulator) recordRateLimits() {
	sum, n := 0.0, 0
	for _, e := range s.engines {
		if e.rateLimit.perSecond == 0 {
			continue
		}
		s.result.LimitExcess = max(s.result.LimitExcess, e.rateLimit.excess())
		sum += e.rateLimit.usedShare()
		n++
	}
	if n > 0 {
		s.result.LimitUsed = sum / float64(n)
	}
}
