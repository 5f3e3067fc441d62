// Package tunneler carries connections between a VM that has lost its link to an upstream and
// that upstream, through a peer VM that reaches it.
//
// The peer VM carries bytes only. It decides nothing about the requests in them: slots, retries,
// rate limits, software versions and deadlines stay with the VM that has the caller. It connects to
// upstreams of its own list and over its own links only, so that there is one hop and no circle.
package tunneler

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/resetdetector"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/socketdialer"
)

const (
	// maxTunnels bounds the connections that a VM carries for others, since each takes two of its
	// file descriptors.
	maxTunnels = 512
	// requestBufferBytes is the size of the buffer for bytes to the upstream; tunnelBytes is what
	// one connection takes of the memory budget.
	requestBufferBytes = 4 << 10
	tunnelBytes        = requestBufferBytes + headerBytes + maxChunkBytes
)

// Connector connects to upstreams over this VM's own links only.
type Connector interface {
	// Connect connects to an upstream, given by its ID. It returns ErrRefused, ErrUnanswered,
	// ErrNoLink or ErrUnlisted.
	Connect(ctx context.Context, upstream string) (net.Conn, error)
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Carrier is the http.Handler that carries connections for other VMs.
type Carrier struct {
	connector Connector
	memory    *rationer.Rationer
	counter   Counter
	logger    *slog.Logger

	mu       sync.Mutex
	tunnels  int
	draining bool
	ended    chan struct{} // closed when draining and no tunnel is left
}

var _ http.Handler = (*Carrier)(nil)

// NewCarrier returns a Carrier whose buffers are reserved from memory.
func NewCarrier(connector Connector, memory *rationer.Rationer, counter Counter, logger *slog.Logger) *Carrier {
	return &Carrier{connector: connector, memory: memory, counter: counter, logger: logger, ended: make(chan struct{})}
}

// ServeHTTP implements http.Handler. It returns when the connection has ended.
func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.begin() {
		reply(w, ErrBusy)
		return
	}
	defer c.end()
	reservation := c.memory.NewReservation()
	defer reservation.Release()
	if !reservation.Grow(tunnelBytes) {
		reply(w, ErrBusy)
		return
	}
	upstream, err := c.connector.Connect(r.Context(), r.URL.Query().Get(queryUpstream))
	if err != nil {
		c.counter.Count(`tunnels_rejected_total{reason="` + replyFor(err) + `"}`)
		reply(w, err)
		return
	}
	defer func() { _ = upstream.Close() }()
	origin, err := accept(w)
	if err != nil {
		c.logger.Warn("connection of peer VM can't be taken over", "error", err)
		return
	}
	defer func() { _ = origin.Close() }()
	c.counter.Count("tunnels_total")
	carry(origin, resetdetector.Wrap(upstream))
}

// begin counts a new tunnel. It returns false if there must be none.
func (c *Carrier) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.tunnels >= maxTunnels {
		return false
	}
	c.tunnels++
	return true
}

func (c *Carrier) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tunnels--
	if c.draining && c.tunnels == 0 {
		close(c.ended)
	}
}

// Tunnels returns the number of connections that are carried.
func (c *Carrier) Tunnels() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tunnels
}

// Drain rejects new connections. It must be called once.
func (c *Carrier) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.tunnels == 0 {
		close(c.ended)
	}
}

// Wait waits, after Drain, until all connections have ended or the context ends.
func (c *Carrier) Wait(ctx context.Context) {
	select {
	case <-c.ended:
	case <-ctx.Done():
	}
}

// reply answers a request that gets no connection.
func reply(w http.ResponseWriter, reason error) {
	w.Header().Set(headerReply, replyFor(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// accept switches protocols and returns the connection to the other VM.
func accept(w http.ResponseWriter) (net.Conn, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err //nolint:wrapcheck // logged by the caller
	}
	if err := socketdialer.Tune(conn); err != nil {
		_ = conn.Close()
		return nil, err //nolint:wrapcheck // logged by the caller
	}
	_, err = io.WriteString(conn,
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
	if err != nil {
		_ = conn.Close()
		return nil, err //nolint:wrapcheck // logged by the caller
	}
	return conn, nil
}

// carry copies bytes in both directions until either side ends. When the other VM ends, the
// connection to the upstream is closed at once, so that the upstream stops its work.
func carry(origin, upstream net.Conn) {
	var group sync.WaitGroup
	group.Go(func() {
		defer func() { _ = upstream.Close() }()
		copyRequests(upstream, origin)
	})
	copyAnswers(origin, upstream)
	_ = origin.Close()
	group.Wait()
}

// copyRequests copies bytes to the upstream until either connection ends.
func copyRequests(upstream, origin net.Conn) {
	buffer := make([]byte, requestBufferBytes)
	for {
		n, err := origin.Read(buffer)
		if n > 0 {
			if _, err := upstream.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyAnswers copies bytes to the other VM until either connection ends. If the upstream doesn't end
// in order, the connection to the other VM is reset.
func copyAnswers(origin, upstream net.Conn) {
	buffer := make([]byte, headerBytes+maxChunkBytes)
	for {
		n, err := upstream.Read(buffer[headerBytes:])
		if n > 0 && writeChunk(origin, buffer[:headerBytes+n]) != nil {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = writeChunk(origin, buffer[:headerBytes]) // the other VM has ended if it fails
			return
		case err != nil:
			reset(origin)
			return
		}
	}
}

// reset makes closing the connection reset it.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
