package server

import (
	"context"
	"net"
	"time"

	"github.com/emicklei/go-restful/v3"
)

// drainPlan says which requests a server that drains still takes.
type drainPlan struct {
	lateFrom time.Time // from here on, requests must end before end
	end      time.Time // when the VM ends
}

// SetDraining makes the server close each connection after its next response. From lateFrom on, it
// rejects requests whose deadline is after end: the VM may end before they do.
func (s *Server) SetDraining(lateFrom, end time.Time) {
	s.draining.Store(&drainPlan{lateFrom: lateFrom, end: end})
}

// Drain closes the listener, and waits until the requests on all connections have ended or the context
// ends.
func (s *Server) Drain(ctx context.Context, listener net.Listener) error {
	_ = listener.Close() // it may be closed already
	return s.conns.Drain(ctx)
}

// isTooLate returns whether a request may not end before the VM does.
func (s *Server) isTooLate(deadline, now time.Time) bool {
	plan := s.draining.Load()
	return plan != nil && !now.Before(plan.lateFrom) && deadline.After(plan.end)
}

// drainFilter closes the connection after each response while the VM shuts down, so that
// callers reconnect to other VMs.
func (s *Server) drainFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	if s.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	chain.ProcessFilter(r, w)
}
