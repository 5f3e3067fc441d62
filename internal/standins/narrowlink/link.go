// Package narrowlink is a TCP proxy for tests. It stands for a link between two regions: all
// data from the far side to its clients shares the capacity of the link.
package narrowlink

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// defaultWindowBytes is the data of one connection that waits at the link at a time. Data
	// that waits uses the link also if its connection is closed meanwhile.
	defaultWindowBytes = 16 << 10
	uplinkBufferBytes  = 32 << 10
	// maxCredit is how long the unused capacity of a link can be used later. It makes up for
	// timers that fire late.
	maxCredit = 10 * time.Millisecond
)

// Link is a link that transmits the data of its connections in the order of their arrival.
type Link struct {
	bytesPerSecond int64
	windowBytes    int
	ctx            context.Context //nolint:containedctx // canceled by Close
	cancel         context.CancelFunc
	group          sync.WaitGroup

	mu        sync.Mutex
	freeAt    time.Time // when all data that waits has been transmitted
	bytes     int64
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

// Option sets one property of a Link.
type Option func(*Link)

// WithWindow sets the number of bytes of one connection that wait at the link at a time.
func WithWindow(windowBytes int) Option {
	return func(l *Link) { l.windowBytes = windowBytes }
}

// New returns a link that transmits a number of bytes per second.
func New(bytesPerSecond int64, options ...Option) *Link {
	l := &Link{bytesPerSecond: bytesPerSecond, windowBytes: defaultWindowBytes, conns: map[net.Conn]struct{}{}}
	for _, option := range options {
		option(l)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Listen accepts connections at an address, and forwards them over the link to a target. It
// returns the address, whose port is a free one if the given one is 0.
func (l *Link) Listen(address, target string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("link: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, listener)
	l.group.Go(func() { l.accept(listener, target) })
	return listener.Addr().String(), nil
}

// Bytes returns the number of bytes that the link has taken from the far side so far.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Close closes all listeners and connections and waits until the link's goroutines end.
func (l *Link) Close() {
	l.cancel()
	l.closeAll()
	l.group.Wait()
}

func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *Link) accept(listener net.Listener, target string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		l.group.Go(func() { l.serve(client, target) })
	}
}

// track registers a connection for Close. It closes the connection and returns false if the link
// is closed.
func (l *Link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// serve forwards one connection until either side closes it. Then it closes both, so that no more
// data of the connection uses the link.
func (l *Link) serve(client net.Conn, target string) {
	if !l.track(client) {
		return
	}
	defer l.untrack(client)
	far, err := net.Dial("tcp", target)
	if err != nil || !l.track(far) {
		return
	}
	defer l.untrack(far)
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	if tcp, ok := far.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(l.windowBytes)
	}
	var group sync.WaitGroup
	group.Go(func() {
		forward(far, client, make([]byte, uplinkBufferBytes), func(int) bool { return true })
		cancel()
		_ = far.Close()
	})
	group.Go(func() {
		forward(client, far, make([]byte, l.windowBytes), func(size int) bool { return l.transmit(ctx, size) })
		_ = client.Close()
	})
	group.Wait()
}

// forward copies data until a read or write fails or wait, which is called with the size of each
// piece, returns false.
func forward(to, from net.Conn, buffer []byte, wait func(size int) bool) {
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !wait(n) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// transmit waits until the link has transmitted data of a size. It returns false if the context
// ends first.
func (l *Link) transmit(ctx context.Context, size int) bool {
	return sleeper.Sleep(ctx, time.Until(l.reserve(size)))
}

// reserve adds data of a size to the data that waits, and returns when it will have been
// transmitted.
func (l *Link) reserve(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if earliest := time.Now().Add(-maxCredit); l.freeAt.Before(earliest) {
		l.freeAt = earliest
	}
	l.bytes += int64(size)
	l.freeAt = l.freeAt.Add(time.Duration(int64(size) * int64(time.Second) / l.bytesPerSecond))
	return l.freeAt
}
