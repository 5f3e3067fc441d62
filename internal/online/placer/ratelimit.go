package placer

// RateLimit is what an upstream last said of the requests that it accepts, and how many this
// VM has sent it since.
type RateLimit struct {
	PerSecond  float64 // from all VMs together; 0 means no limit
	SentOnline int
	SentBatch  int
}

// RecordRateLimit records the rate limit in an answer of the upstream of a slot. If it is
// another one than before, RecordRateLimit returns the previous one and true.
func (p *Placer) RecordRateLimit(slot *Slot, perSecond float64) (previous RateLimit, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := slot.upstream
	previous = u.rateLimit
	if perSecond == previous.PerSecond {
		return previous, false
	}
	u.rateLimit = RateLimit{PerSecond: perSecond}
	return previous, true
}
