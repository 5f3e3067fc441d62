package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
)

// errStopping means that the VM ends before the request does.
var errStopping = errors.New("VM is stopping")

// maxJobCallTime is the time that a call on a job needs at most.
const maxJobCallTime = 3 * time.Second

// Drain makes the gateway close each connection after its next answer, and reject requests that are too
// late for the plan: they might be aborted, and can run on another VM at once.
func (g *Gateway) Drain(plan *drainer.Plan) { g.draining.Store(plan) }

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
	if !g.draining.Load().IsTooLate(deadline, time.Now()) {
		return false
	}
	x.w.Header().Set("Connection", "close") // it may not have been draining when the request came
	g.reject(x, http.StatusServiceUnavailable, reasonStopping)
	return true
}
