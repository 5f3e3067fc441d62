package rowemulator

import (
	"sync"

	"golang.org/x/time/rate"
)

// RateLimits are the calls a second that a store takes.
type RateLimits struct {
	Writes float64
	Reads  float64
	// PartWrites bounds the transactions in any one part.
	PartWrites float64
}

// SmallSiteRateLimits are those of the users' smaller sites.
var SmallSiteRateLimits = RateLimits{Writes: 800, Reads: 2000, PartWrites: 200}

// rates refuses calls beyond a second's worth at once.
type rates struct {
	limits RateLimits
	writes *rate.Limiter
	reads  *rate.Limiter

	mu    sync.Mutex
	parts map[string]*rate.Limiter
}

func newRates(r RateLimits) *rates {
	return &rates{
		limits: r, writes: perSecond(r.Writes), reads: perSecond(r.Reads), parts: map[string]*rate.Limiter{},
	}
}

func perSecond(n float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), int(n)) }

func (r *rates) allow(c Call) bool {
	switch {
	case r == nil || c.Object != "":
		return true
	case !c.Write:
		return r.reads.Allow()
	default:
		return r.writes.Allow() && r.part(c).Allow()
	}
}

func (r *rates) part(c Call) *rate.Limiter {
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
