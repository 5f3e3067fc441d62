// Package interrupter is a TCP proxy for tests. It delays or stops the data of a
// direction, and resets and rejects connections.
package interrupter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/resetdetector"
	"github.com/fescuespindle/fescuespindle/internal/standins/narrowlistener"
)

// Fault describes what the proxy does to the data of one direction. The zero value
// forwards it at once.
type Fault struct {
	delay   time.Duration
	stopped bool
}

// Delayed returns a fault that delays data.
func Delayed(d time.Duration) Fault { return Fault{delay: d} }

// Stopped returns a fault that forwards no data and keeps connections open, as a
// broken link does.
func Stopped() Fault { return Fault{stopped: true} }

const (
	bufferBytes = 32 << 10
	pollPeriod  = 2 * time.Millisecond
)

// Proxy forwards connections to one address.
type Proxy struct {
	address  string
	target   string
	isNarrow bool
	ctx      context.Context //nolint:containedctx // canceled by Close
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu           sync.Mutex
	listener     net.Listener // nil between Stop, Refuse or Partition and Restart
	full         *fullListener
	toTarget     Fault
	toClient     Fault
	disconnected bool
	conns        map[net.Conn]struct{}
}

// Option sets one property of a Proxy.
type Option func(*Proxy)

// WithAddress sets the address to listen on; port 0 means any free one. At 127.0.0.1 another process can
// take the port while the proxy doesn't listen, also by a connection that it opens.
func WithAddress(address string) Option {
	return func(p *Proxy) { p.address = address }
}

// WithNarrowSockets makes connections through the proxy take little before it is read at their ends.
func WithNarrowSockets() Option {
	return func(p *Proxy) { p.isNarrow = true }
}

// New starts a proxy that listens on loopback and forwards to an address.
func New(target string, options ...Option) (*Proxy, error) {
	p := &Proxy{address: "127.0.0.1:0", target: target, conns: map[net.Conn]struct{}{}}
	for _, option := range options {
		option(p)
	}
	listener, err := p.listen()
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p.address, p.listener = listener.Addr().String(), listener
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.group.Go(func() { p.accept(listener) })
	return p, nil
}

func (p *Proxy) listen() (net.Listener, error) {
	if p.isNarrow {
		return narrowlistener.Listen(p.address) //nolint:wrapcheck // the callers do
	}
	return net.Listen("tcp", p.address) //nolint:wrapcheck // the callers do
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// SetFaults sets the faults of both directions, also of existing connections.
func (p *Proxy) SetFaults(toTarget, toClient Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toTarget, p.toClient = toTarget, toClient
}

// Disconnect resets all connections and rejects new ones until ClearFaults is called.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = true
	p.reset()
}

// Stop resets all connections, and makes the address refuse new ones until Restart is
// called, as that of a process that has ended does.
func (p *Proxy) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
	p.closeListener()
}

// Refuse makes the address refuse new connections until Restart is called. Open ones go on.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeListener()
}

// Partition makes the address leave new connections unanswered until Restart is called, as one
// behind a partition does, and stops the data of open ones. It returns an error if the address
// is taken.
func (p *Proxy) Partition() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toTarget, p.toClient = Stopped(), Stopped()
	p.closeListener()
	full, err := listenWithFullBacklog(p.address)
	if err != nil {
		return err
	}
	p.full = full
	return nil
}

// closeListener closes the listener, if there is one. The caller holds mu.
func (p *Proxy) closeListener() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	if p.full != nil {
		p.full.close()
		p.full = nil
	}
}

// Restart listens on the address again after Stop, Refuse or Partition, and removes the faults of
// both directions. It returns an error if the address is taken.
func (p *Proxy) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ctx.Err() != nil {
		return nil
	}
	p.closeListener()
	p.toTarget, p.toClient = Fault{}, Fault{}
	listener, err := p.listen()
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	p.listener = listener
	p.group.Go(func() { p.accept(listener) })
	return nil
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

// reset closes connections with a TCP RST instead of a FIN. The caller holds mu.
func (p *Proxy) reset() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

// ClearFaults accepts connections again and removes the faults of both directions.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = false
	p.toTarget, p.toClient = Fault{}, Fault{}
}

// Close stops the proxy, resets its connections and waits until its goroutines end.
func (p *Proxy) Close() {
	p.cancel()
	p.Stop()
	p.group.Wait()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(client) })
	}
}

// track registers a connection for reset. While the proxy is disconnected or closed,
// it closes the connection and returns false.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disconnected || p.ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *Proxy) serve(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	target, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(target) {
		return
	}
	if tcp, ok := target.(*net.TCPConn); ok && p.isNarrow {
		_ = tcp.SetWriteBuffer(narrowlistener.BufferBytes) // without it, only more is taken
	}
	defer p.untrack(target)
	var group sync.WaitGroup
	origin, end := newSide(client), newSide(target)
	group.Go(func() { p.copy(end, origin, func() Fault { return p.toTarget }) })
	group.Go(func() { p.copy(origin, end, func() Fault { return p.toClient }) })
	group.Wait()
}

// side is one of the two connections that are joined. Its reads tell a reset from an orderly end.
type side struct {
	net.Conn
	raw net.Conn
}

func newSide(conn net.Conn) side { return side{Conn: resetdetector.Wrap(conn), raw: conn} }

// endAs ends the connection as the one ended from which data was forwarded to it: in order, or by a reset.
func (s side) endAs(err error) {
	tcp, ok := s.raw.(*net.TCPConn)
	if !ok {
		return
	}
	if errors.Is(err, syscall.ECONNRESET) {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
		return
	}
	_ = tcp.CloseWrite()
}

// copy forwards data until a read or write fails, and ends one connection as the other has ended. If a write fails, the copy of the
// other direction learns how. The fault may change at any time.
func (p *Proxy) copy(to, from side, fault func() Fault) {
	size := bufferBytes
	if p.isNarrow {
		size = narrowlistener.BufferBytes
	}
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.wait(fault) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			to.endAs(err)
			return
		}
	}
}

// wait blocks as the current fault requires. It returns false if the proxy is closed
// meanwhile.
func (p *Proxy) wait(fault func() Fault) bool {
	for {
		p.mu.Lock()
		f := fault()
		p.mu.Unlock()
		if !f.stopped {
			time.Sleep(f.delay)
			return true
		}
		timer := time.NewTimer(pollPeriod)
		select {
		case <-timer.C:
		case <-p.ctx.Done():
			timer.Stop()
			return false
		}
	}
}
