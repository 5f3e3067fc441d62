// Package interrupter is a TCP proxy for tests that delays, stops, cuts and
// resets connections, in one direction or both.
package interrupter

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is what the proxy does to the bytes of one direction.
type Fault struct {
	delay   time.Duration
	stopped bool
}

// Delayed passes bytes after a time.
func Delayed(d time.Duration) Fault { return Fault{delay: d} }

// Stopped passes nothing and keeps connections open, as a broken link does.
func Stopped() Fault { return Fault{stopped: true} }

const (
	bufferBytes = 32 << 10
	pollPeriod  = 2 * time.Millisecond
)

// Proxy forwards connections to one address.
type Proxy struct {
	listener net.Listener
	target   string
	ctx      context.Context //nolint:containedctx // the life of the proxy
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu       sync.Mutex
	toTarget Fault
	toClient Fault
	refusing bool
	conns    map[net.Conn]struct{}
}

// New returns a proxy on loopback to an address.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.group.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults of both directions.
func (p *Proxy) SetFaults(toTarget, toClient Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toTarget, p.toClient = toTarget, toClient
}

// Disconnect resets all connections and refuses new ones.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = true
	p.reset()
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

// reset closes connections without the usual farewell. The caller holds mu.
func (p *Proxy) reset() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

// ClearFaults ends every fault.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = false
	p.toTarget, p.toClient = Fault{}, Fault{}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.Reset()
	p.group.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(client) })
	}
}

// keep remembers a connection, or returns false if none may be made.
func (p *Proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing || p.ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *Proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *Proxy) serve(client net.Conn) {
	if !p.keep(client) {
		return
	}
	defer p.forget(client)
	target, err := net.Dial("tcp", p.target)
	if err != nil || !p.keep(target) {
		return
	}
	defer p.forget(target)
	var group sync.WaitGroup
	group.Go(func() {
		p.copy(target, client, func() Fault { return p.toTarget })
		closeWrite(target)
	})
	group.Go(func() {
		p.copy(client, target, func() Fault { return p.toClient })
		closeWrite(client)
	})
	group.Wait()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// copy passes bytes on under the fault in force when they came.
func (p *Proxy) copy(to, from net.Conn, fault func() Fault) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.pass(fault) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits as the fault says, or returns false if the proxy has ended.
func (p *Proxy) pass(fault func() Fault) bool {
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
