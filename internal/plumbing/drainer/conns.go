// Package drainer drains an HTTP server of a process that will end at a known time: requests on open
// connections are still answered, and those that might not end in time are rejected.
//
// http.Server.Shutdown closes a connection that has just delivered a request without an answer, so
// a caller can't tell whether the request has run. A drained server answers it, if only with a
// rejection:
//
//	listener closed ── idle connections closed ── requests on the others are answered ── end
package drainer

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

// Conns are the connections of one server.
type Conns struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
}

// NewConns returns no connections.
func NewConns() *Conns { return &Conns{conns: map[net.Conn]connState{}} }

// Observe records the state of a connection. It is an http.Server.ConnState function.
func (c *Conns) Observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = connState{state: state, since: time.Now()}
}

// Drain closes connections that carry no request, and waits until none is left or the context
// ends. Connections that become idle meanwhile are closed too. The server must accept no more.
func (c *Conns) Drain(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.closeIdle(time.Now()) > 0 {
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
func (c *Conns) closeIdle(now time.Time) (others int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.conns {
		isNewTooLong := known.state == http.StateNew && now.Sub(known.since) >= firstRequestTime
		isIdle := known.state == http.StateIdle || isNewTooLong
		if !isIdle {
			others++
			continue
		}
		_ = conn.Close()
		delete(c.conns, conn)
	}
	return others
}
