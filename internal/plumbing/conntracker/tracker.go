// Package conntracker tracks the connections of an HTTP server, so that it can be drained while
// requests on open connections are still answered.
//
// http.Server.Shutdown closes a connection that has just delivered a request without an answer, so
// a caller can't tell whether the request has run. A drained server answers it, if only with a
// rejection:
//
//	listener closed ── CloseIdle ── requests on other connections are answered ── Wait ── Close
package conntracker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRequestTime is how long a new connection may take until its first request; callers that
	// connect send at once.
	firstRequestTime = 2 * time.Second
	// pollInterval is the time between two checks of Wait.
	pollInterval = 20 * time.Millisecond
)

// connState is the state of a connection.
type connState struct {
	state http.ConnState
	since time.Time
}

// Tracker tracks the connections of one server.
type Tracker struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
}

// New returns a Tracker without connections.
func New() *Tracker { return &Tracker{conns: map[net.Conn]connState{}} }

// Observe records the state of a connection. It is an http.Server.ConnState function.
func (t *Tracker) Observe(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.conns, conn)
		return
	}
	t.conns[conn] = connState{state: state, since: time.Now()}
}

// Drain closes connections that carry no request, and waits until none is left or the context
// ends. Connections that become idle meanwhile are closed too. The server must accept no more.
func (t *Tracker) Drain(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for t.closeIdle(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// closeIdle closes connections that carry no request, and returns the number of the others. A new
// connection may still deliver its first request.
func (t *Tracker) closeIdle(now time.Time) (others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, c := range t.conns {
		isIdle := c.state == http.StateIdle || (c.state == http.StateNew && now.Sub(c.since) >= firstRequestTime)
		if !isIdle {
			others++
			continue
		}
		_ = conn.Close()
		delete(t.conns, conn)
	}
	return others
}
