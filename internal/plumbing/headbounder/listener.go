// Package headbounder bounds what an HTTP server holds for callers before it serves them: the heads of
// requests and the connections.
//
// net/http bounds the bytes of a head, but a parsed one takes up to 15 times as much if its lines are short. So
// bytes and lines are counted and reserved as they are read, before they are parsed:
//
//	accept ── counted ── head: bytes and lines reserved ── request ── reservation released ── next head
package headbounder

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// connectionBytes is the memory that a connection takes while it waits for a request: its buffers, its
	// goroutine and the part of a head that is not reserved.
	connectionBytes = 40 << 10
	// connectionMemoryDivisor is the ratio of a process's memory to that for connections.
	connectionMemoryDivisor = 6
	// connectionDescriptorDivisor is the ratio of a process's descriptors for sockets to those for connections
	// to its listeners; the rest is for connections that it opens.
	connectionDescriptorDivisor = 2
	// fileDescriptors are descriptors that are not for sockets.
	fileDescriptors = 200
	// headMemoryDivisor is the ratio of a process's memory to that for heads beyond freeBytes each.
	headMemoryDivisor = 8
	defaultHeadMemory = 16 << 20
	// minConnections is accepted whatever the limits are.
	minConnections = 16
	// maxServerHeadBytes is a limit of net/http that no head reaches.
	maxServerHeadBytes = 1 << 30
	// defaultMaxConnections applies if no limit is known.
	defaultMaxConnections = 4096
)

// MaxConnections returns how many connections a process accepts at a time with a memory in bytes and a number
// of descriptors, of which 0 means that it is not known.
func MaxConnections(memoryBytes int64, descriptors int) int {
	limit := defaultMaxConnections
	if memoryBytes > 0 {
		limit = min(limit, int(memoryBytes/connectionMemoryDivisor/connectionBytes))
	}
	if descriptors > 0 {
		limit = min(limit, (descriptors-fileDescriptors)/connectionDescriptorDivisor)
	}
	return max(limit, minConnections)
}

// HeadMemory returns the budget in bytes for heads of a process with a memory in bytes, or with 0 if it isn't known.
func HeadMemory(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return defaultHeadMemory
	}
	return memoryBytes / headMemoryDivisor
}

// Counter counts refusals by name.
type Counter interface {
	Count(name string)
}

// Bounder bounds the heads and connections of the listeners of a process. It is safe for concurrent use.
type Bounder struct {
	memory  *rationer.Rationer
	counter Counter
}

// New returns a Bounder that reserves memory for heads.
func New(memory *rationer.Rationer, counter Counter) *Bounder {
	return &Bounder{memory: memory, counter: counter}
}

// Listener accepts connections for one http.Server, which Attach has prepared.
type Listener struct {
	net.Listener

	bounder        *Bounder
	maxConnections int
	maxHeadBytes   func() int

	mu    sync.Mutex
	conns map[*conn]time.Time // since when they wait for a request or its body; zero while they have it
}

// Wrap returns a listener that accepts the connections of another one, up to a number at a time. maxHeadBytes
// returns the limit of a head in force.
func (b *Bounder) Wrap(listener net.Listener, maxConnections int, maxHeadBytes func() int) *Listener {
	return &Listener{
		Listener: listener, bounder: b, maxConnections: maxConnections, maxHeadBytes: maxHeadBytes,
		conns: map[*conn]time.Time{},
	}
}

// Attach prepares a server that will serve on the listener: it follows the states of connections, leaves the
// limit of heads to the listener, sets ConnContext, and ends requests whose body doesn't arrive within
// bodyTimeout, unless a handler sets another deadline.
func (l *Listener) Attach(s *http.Server, bodyTimeout time.Duration) {
	s.MaxHeaderBytes = maxServerHeadBytes
	s.Handler, s.ConnContext = l.boundBody(s.Handler, bodyTimeout), withConn
	next := s.ConnState
	s.ConnState = func(observed net.Conn, state http.ConnState) {
		l.observe(observed, state)
		if next != nil {
			next(observed, state)
		}
	}
}

// Accept implements net.Listener. If there are too many connections, it closes the one that has waited longest
// for a request or its body, or the new one if all have requests.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // http.Server compares it
		}
		c := &conn{Conn: accepted, listener: l, reservation: l.bounder.memory.NewReservation()}
		c.beginHead()
		evicted, isFull := l.add(c)
		if evicted != nil {
			l.bounder.counter.Count(`connections_closed_total{reason="tooMany"}`)
			_ = evicted.Close()
		}
		if !isFull {
			return c, nil
		}
	}
}

// add registers a connection. It returns the one to close, and whether that is the new one.
func (l *Listener) add(c *conn) (evicted *conn, isFull bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConnections {
		evicted = l.longestWaiting()
		if evicted == nil {
			return c, true
		}
		delete(l.conns, evicted)
	}
	l.conns[c] = time.Now()
	return evicted, false
}

// longestWaiting returns the connection that has waited longest for a request, or nil.
func (l *Listener) longestWaiting() *conn {
	var longest *conn
	for c, since := range l.conns {
		if !since.IsZero() && (longest == nil || since.Before(l.conns[longest])) {
			longest = c
		}
	}
	return longest
}

// observe follows the state of a connection. It is an http.Server.ConnState function.
func (l *Listener) observe(observed net.Conn, state http.ConnState) {
	c, ok := observed.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
		l.setWaiting(c, time.Time{})
	case http.StateIdle:
		c.beginHead()
		l.setWaiting(c, time.Now())
	case http.StateHijacked, http.StateClosed:
		c.endHead()
		c.release()
		l.remove(c)
	case http.StateNew: // as accepted
	}
}

func (l *Listener) setWaiting(c *conn, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.conns[c]; known {
		l.conns[c] = since
	}
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
