package dispatcher

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// longFactor is how much longer than usual a long prompt is.
	longFactor = 4
	// longBytes is the least length of a long prompt.
	longBytes = 2 << 10
	// usualWeight is the weight of a new prompt in the usual length.
	usualWeight = 0.05
	// apartTime is how long after a long prompt others keep away from where
	// long prompts go.
	apartTime = 30 * time.Second
)

// promptTracker tells long prompts from usual ones.
type promptTracker struct {
	usual  atomic.Uint64 // float64 bits, bytes
	longAt atomic.Int64  // Unix nanoseconds
}

// note takes a prompt's length and tells whether it is long. Long prompts
// don't count for what is usual, or a run of them would hide itself.
func (p *promptTracker) note(bytes int, now time.Time) bool {
	usual := math.Float64frombits(p.usual.Load())
	if usual > 0 && bytes >= longBytes && float64(bytes) >= longFactor*usual {
		p.longAt.Store(now.UnixNano())
		return true
	}
	if usual == 0 {
		usual = float64(bytes)
	}
	p.usual.Store(math.Float64bits(usual + usualWeight*(float64(bytes)-usual)))
	return false
}

// apart tells whether long prompts have come lately.
func (p *promptTracker) apart(now time.Time) bool {
	return now.UnixNano()-p.longAt.Load() < int64(apartTime)
}
