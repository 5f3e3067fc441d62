// Package messenger carries messages between entry VMs over WebSocket. A
// message is sent at most once and may be lost; whoever needs an answer asks
// again.
package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

// Path is where VMs take their peers' connections.
const Path = "/peer"

const (
	headerFrom      = "X-Fescuespindle-From"
	queueLength     = 512
	maxMessageBytes = 32 << 20
	dialTimeout     = time.Second
	writeTimeout    = 2 * time.Second
	idleTimeout     = time.Minute
)

// Counter counts events by name.
type Counter interface {
	Add(name string, n int)
}

// Handler takes a message that came in. It must not block.
type Handler func(peer.Sender, peer.Message)

// Messenger has the links of one VM to its peers.
type Messenger struct {
	self    atomic.Pointer[peer.Sender]
	secret  []byte
	handler Handler
	counter Counter
	client  *http.Client

	ctx    context.Context //nolint:containedctx // the life of all links
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// New returns a messenger. The dial function opens connections; nil means TCP.
func New(
	self peer.Sender, secret []byte, handler Handler, counter Counter,
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) *Messenger {
	m := &Messenger{secret: secret, handler: handler, counter: counter, links: map[string]*link{}}
	m.SetSelf(self)
	m.client = &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// SetSelf changes what the messages say of their sender.
func (m *Messenger) SetSelf(self peer.Sender) { m.self.Store(&self) }

// Close ends all links.
func (m *Messenger) Close() {
	m.cancel()
	m.group.Wait()
	m.client.CloseIdleConnections()
}

// Send queues a message to a VM's peer address. It drops the message if the
// link's queue is full.
func (m *Messenger) Send(address string, message peer.Message) {
	text, err := peer.Encode(*m.self.Load(), message)
	if err != nil || m.ctx.Err() != nil {
		return
	}
	m.count("sent", message.Kind(), len(text))
	select {
	case m.link(address).queue <- text:
	default:
		m.counter.Add(fmt.Sprintf("peer_dropped_total{kind=%q}", message.Kind()), 1)
	}
}

func (m *Messenger) count(direction string, kind peer.Kind, bytes int) {
	m.counter.Add(fmt.Sprintf("peer_messages_total{direction=%q,kind=%q}", direction, kind), 1)
	m.counter.Add(fmt.Sprintf("peer_bytes_total{direction=%q}", direction), bytes)
}

// link is the queue of messages to one peer.
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
		m.group.Go(func() { m.run(l) })
	}
	return l
}

// run sends a link's messages until the link is idle for long.
func (m *Messenger) run(l *link) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	var conn *websocket.Conn
	defer func() { closeConn(conn) }()
	for {
		select {
		case text := <-l.queue:
			conn = m.deliver(l, conn, text)
			idle.Reset(idleTimeout)
		case <-idle.C:
			if m.retire(l) {
				return
			}
			idle.Reset(idleTimeout)
		case <-m.ctx.Done():
			return
		}
	}
}

// retire forgets an idle link, unless a message has come in meanwhile.
func (m *Messenger) retire(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(m.links, l.address)
	return true
}

// deliver writes one message and returns the connection to use next. A message
// that can't be written on an old connection is tried once on a new one.
func (m *Messenger) deliver(l *link, conn *websocket.Conn, text []byte) *websocket.Conn {
	fresh := conn == nil
	if fresh {
		conn = m.dial(l.address)
	}
	if m.write(conn, text) {
		return conn
	}
	closeConn(conn)
	if fresh {
		return nil
	}
	conn = m.dial(l.address)
	if m.write(conn, text) {
		return conn
	}
	closeConn(conn)
	return nil
}

func (m *Messenger) write(conn *websocket.Conn, text []byte) bool {
	if conn == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(m.ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, text) == nil
}

func (m *Messenger) dial(address string) *websocket.Conn {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(headerFrom, m.self.Load().VM)
	header.Set("Authorization", m.token(m.self.Load().VM))
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: m.client, HTTPHeader: header,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		m.counter.Add("peer_dial_failures_total", 1)
		return nil
	}
	// The far side never writes; reading answers its pings and sees it close.
	conn.CloseRead(m.ctx)
	return conn
}

func closeConn(conn *websocket.Conn) {
	if conn != nil {
		_ = conn.CloseNow()
	}
}

// token proves that a VM knows the fleet's secret.
func (m *Messenger) token(vm string) string {
	mac := hmac.New(sha256.New, m.secret)
	mac.Write([]byte(vm))
	return "Bearer " + hex.EncodeToString(mac.Sum(nil))
}

// ServeHTTP takes a peer's connection and reads its messages.
func (m *Messenger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	if !hmac.Equal([]byte(r.Header.Get("Authorization")), []byte(m.token(from))) {
		m.counter.Add("peer_unauthorized_total", 1)
		http.Error(w, "unknown peer", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer closeConn(conn)
	conn.SetReadLimit(maxMessageBytes)
	for {
		_, text, err := conn.Read(m.ctx)
		if err != nil {
			return
		}
		m.receive(from, text)
	}
}

func (m *Messenger) receive(from string, text []byte) {
	sender, message, err := peer.Decode(text)
	if err != nil || sender.VM != from {
		m.counter.Add("peer_bad_messages_total", 1)
		return
	}
	m.count("received", message.Kind(), len(text))
	m.handler(sender, message)
}
