// Package messenger carries messages between entry VMs over WebSocket. A message is
// delivered at most once and may be lost; a sender that needs a reply must repeat its
// request.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
)

// Path is the HTTP path at which VMs accept connections of their peers.
const Path = "/peer"

const (
	// queueLength bounds the messages that wait for one peer; further ones are discarded.
	queueLength     = 512
	maxMessageBytes = 32 << 20 // limit of a received message; a longer one closes the connection
	// defaultMemoryBytes bounds the messages that are received at the same time unless there is a budget.
	defaultMemoryBytes = 64 << 20
	dialTimeout        = time.Second
	writeTimeout       = 2 * time.Second
	// idleTimeout is how long a link without messages stays open.
	idleTimeout = time.Minute
)

// Counter counts events by name.
type Counter interface {
	Add(name string, n int)
}

// Handler handles a received message. It must not block.
type Handler func(peer.Sender, peer.Message)

// Messenger sends messages to the peers of one VM, and receives theirs.
type Messenger struct {
	self          atomic.Pointer[peer.Sender]
	authenticator *Authenticator
	handler       Handler
	counter       Counter
	client        *http.Client
	memory        *rationer.Rationer

	ctx    context.Context //nolint:containedctx // lifetime of all links
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// Option configures a Messenger.
type Option func(*Messenger)

// WithMemory sets the budget from which memory for messages is reserved while they are received. A message
// that gets none is discarded.
func WithMemory(budget *rationer.Rationer) Option {
	return func(m *Messenger) { m.memory = budget }
}

// New returns a Messenger. The dial function opens connections; nil means TCP.
func New(
	self peer.Sender, authenticator *Authenticator, handler Handler, counter Counter,
	dial func(ctx context.Context, network, address string) (net.Conn, error), options ...Option,
) *Messenger {
	m := &Messenger{
		authenticator: authenticator, handler: handler, counter: counter, links: map[string]*link{},
		memory: rationer.New(defaultMemoryBytes),
	}
	for _, option := range options {
		option(m)
	}
	m.SetSelf(self)
	m.client = &http.Client{Transport: transporter.New(dial)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// SetSelf sets the sender of the messages that follow.
func (m *Messenger) SetSelf(self peer.Sender) { m.self.Store(&self) }

// Close closes all links and waits for them to end.
func (m *Messenger) Close() {
	m.cancel()
	m.group.Wait()
	m.client.CloseIdleConnections()
}

// Send queues a message to a VM's peer address. It discards the message if the link's
// queue is full.
func (m *Messenger) Send(address string, message peer.Message) {
	data, err := peer.Encode(*m.self.Load(), message)
	if err != nil || m.ctx.Err() != nil {
		return
	}
	m.countMessage("sent", message.Kind(), len(data))
	select {
	case m.link(address).queue <- data:
	default:
		m.counter.Add(fmt.Sprintf("peer_dropped_total{kind=%q}", message.Kind()), 1)
	}
}

func (m *Messenger) countMessage(direction string, kind peer.Kind, bytes int) {
	m.counter.Add(fmt.Sprintf("peer_messages_total{direction=%q,kind=%q}", direction, kind), 1)
	m.counter.Add(fmt.Sprintf("peer_bytes_total{direction=%q}", direction), bytes)
}

// link is the queue of outgoing messages to one peer.
type link struct {
	address string
	queue   chan []byte
}

func (m *Messenger) link(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, found := m.links[address]
	if !found {
		l = &link{address: address, queue: make(chan []byte, queueLength)}
		m.links[address] = l
		m.group.Go(func() { m.sendLoop(l) })
	}
	return l
}

// sendLoop sends a link's messages until the link has been idle for idleTimeout.
func (m *Messenger) sendLoop(l *link) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	var conn *websocket.Conn
	defer func() { closeConn(conn) }()
	for {
		select {
		case data := <-l.queue:
			conn = m.send(l, conn, data)
			idle.Reset(idleTimeout)
		case <-idle.C:
			if m.removeIdle(l) {
				return
			}
			idle.Reset(idleTimeout)
		case <-m.ctx.Done():
			return
		}
	}
}

// removeIdle removes an idle link, unless a message has been queued in the meantime.
// It reports whether the link was removed.
func (m *Messenger) removeIdle(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(m.links, l.address)
	return true
}

// send writes one message and returns the connection to use next, or nil. A write that
// fails on an existing connection is retried once on a new one, since the peer may
// have closed the old one.
func (m *Messenger) send(l *link, conn *websocket.Conn, data []byte) *websocket.Conn {
	isNew := conn == nil
	if isNew {
		conn = m.dial(l.address)
	}
	if m.write(conn, data) {
		return conn
	}
	closeConn(conn)
	if isNew {
		return nil
	}
	conn = m.dial(l.address)
	if m.write(conn, data) {
		return conn
	}
	closeConn(conn)
	return nil
}

func (m *Messenger) write(conn *websocket.Conn, data []byte) bool {
	if conn == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(m.ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data) == nil
}

func (m *Messenger) dial(address string) *websocket.Conn {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: m.client, HTTPHeader: m.authenticator.Header(m.self.Load().VM),
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		m.counter.Add("peer_dial_failures_total", 1)
		return nil
	}
	// The remote side never sends messages; reading handles its pings and detects
	// that it has closed the connection.
	conn.CloseRead(m.ctx)
	return conn
}

func closeConn(conn *websocket.Conn) {
	if conn != nil {
		_ = conn.CloseNow()
	}
}

// ServeHTTP accepts a peer's connection, which the Authenticator has let pass, and receives its
// messages.
func (m *Messenger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer closeConn(conn)
	conn.SetReadLimit(maxMessageBytes)
	for m.receiveNext(conn, from) {
	}
}

// receiveNext receives the next message of a connection. It returns false if the connection has ended.
func (m *Messenger) receiveNext(conn *websocket.Conn, from string) bool {
	_, message, err := conn.Reader(m.ctx)
	if err != nil {
		return false
	}
	reservation := m.memory.NewReservation()
	defer reservation.Release()
	data, err := reservation.ReadAll(message, -1)
	switch {
	case errors.Is(err, rationer.ErrExhausted):
		m.counter.Add("peer_messages_without_memory_total", 1)
	case err != nil:
		return false
	default:
		m.receive(from, data)
	}
	return true
}

func (m *Messenger) receive(from string, data []byte) {
	sender, message, err := peer.Decode(data)
	if err != nil || sender.VM != from {
		m.counter.Add("peer_bad_messages_total", 1)
		return
	}
	m.countMessage("received", message.Kind(), len(data))
	m.handler(sender, message)
}
