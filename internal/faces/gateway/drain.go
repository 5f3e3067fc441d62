package gateway

import (
	"errors"
	"net/http"
	"time"
)

// errStopping means that the VM ends before the request does.
var errStopping = errors.New("VM is stopping")

// maxJobCallTime is the time that a call on a job needs at most.
const maxJobCallTime = 3 * time.Second

// drainPlan says which requests a gateway that drains still takes.
type drainPlan struct {
	lateFrom time.Time // from here on, requests must end before end
	end      time.Time // when running requests are aborted
}

// Drain makes the gateway close each connection after its next answer. From lateFrom on, when no
// load balancer sends callers here any more, it rejects requests whose deadline is after end: they
// might be aborted, and run at once on another VM.
func (g *Gateway) Drain(lateFrom, end time.Time) {
	g.draining.Store(&drainPlan{lateFrom: lateFrom, end: end})
}

// Abort ends all requests with an answer that says what became of them.
func (g *Gateway) Abort() { g.abort(errStopping) }

// closeIfDraining closes callers' connections while the VM drains, so that they
// connect to other VMs.
func (g *Gateway) closeIfDraining(next handler) handler {
	return func(x *exchange) {
		if g.draining.Load() != nil {
			x.w.Header().Set("Connection", "close")
		}
		next(x)
	}
}

// rejectIfLate rejects a request that may not end before the VM does, and returns whether it did. A zero
// deadline means none.
func (g *Gateway) rejectIfLate(x *exchange, deadline time.Time) bool {
	plan := g.draining.Load()
	if plan == nil || time.Now().Before(plan.lateFrom) {
		return false
	}
	if !deadline.IsZero() && !deadline.After(plan.end) {
		return false
	}
	x.w.Header().Set("Connection", "close") // it may not have been draining when the request came
	g.reject(x, http.StatusServiceUnavailable, reasonStopping)
	return true
}
