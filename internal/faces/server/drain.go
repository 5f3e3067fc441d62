package server

import (
	"context"
	"net"

	"github.com/emicklei/go-restful/v3"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
)

// SetDraining makes the server close each connection after its next response, and reject requests that
// are too late for the plan.
func (s *Server) SetDraining(plan *drainer.Plan) { s.draining.Store(plan) }

// Drain closes the listener, and waits until the requests on all connections have ended or the context
// ends.
func (s *Server) Drain(ctx context.Context, listener net.Listener) error {
	_ = listener.Close() // it may be closed already
	return s.conns.Drain(ctx)
}

// drainFilter closes the connection after each response while the VM shuts down, so that
// callers reconnect to other VMs.
func (s *Server) drainFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	if s.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	chain.ProcessFilter(r, w)
}
