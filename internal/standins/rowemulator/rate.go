package rowemulator

import (
	"sync"

	"golang.org/x/time/rate"
)

// RateLimits holds the numbers of calls per second that a store accepts.
type RateLimits struct {
	Writes float64
	Reads  float64
	// PartWrites limits the transactions in any one part.
	PartWrites float64
}

// SmallSiteRateLimits holds the limits of the stores at the users' smaller sites.
var SmallSiteRateLimits = RateLimits{Writes: 800, Reads: 2000, PartWrites: 200}

// limiter enforces rate limits. Each limit allows a burst of one second's calls.
type limiter struct {
	limits RateLimits
	writes *rate.Limiter
	reads  *rate.Limiter

	mu    sync.Mutex
	parts map[string]*rate.Limiter
}

func newLimiter(r RateLimits) *limiter {
	return &limiter{
		limits: r, writes: perSecond(r.Writes), reads: perSecond(r.Reads), parts: map[string]*rate.Limiter{},
	}
}

func perSecond(n float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), int(n)) }

// allow returns whether a call is within the limits. Calls about objects aren't
// limited, and a nil limiter allows every call.
func (r *limiter) allow(c Call) bool {
	switch {
	case r == nil || c.Object != "":
		return true
	case !c.Write:
		return r.reads.Allow()
	default:
		return r.writes.Allow() && r.part(c).Allow()
	}
}

// part returns the limiter of the part that a transaction's first key is in.
func (r *limiter) part(c Call) *rate.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	part := ""
	if keys := c.Tx.Keys(); len(keys) > 0 {
		part = keys[0].Part
	}
	if r.parts[part] == nil {
		r.parts[part] = perSecond(r.limits.PartWrites)
	}
	return r.parts[part]
}
