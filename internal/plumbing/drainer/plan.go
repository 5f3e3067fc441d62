package drainer

import "time"

// Plan says which requests a process that will end still takes.
type Plan struct {
	lateFrom time.Time
	end      time.Time
}

// NewPlan returns the plan of a process that ends at a time. From lateFrom on, when load balancers no
// longer send callers here, it takes only requests that must end before.
func NewPlan(lateFrom, end time.Time) *Plan { return &Plan{lateFrom: lateFrom, end: end} }

// IsTooLate returns whether a request that comes now may not end in time. A zero deadline means none. The
// plan may be nil, for a process that goes on.
func (p *Plan) IsTooLate(deadline, now time.Time) bool {
	if p == nil || now.Before(p.lateFrom) {
		return false
	}
	return deadline.IsZero() || deadline.After(p.end)
}
