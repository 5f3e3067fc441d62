// Package spooler keeps what callers have not read yet of their answers, within a bound and a budget of memory, so
// that a caller that reads slowly delays nobody: its request ends, and its upstream is free, once the answer is kept.
//
//	answer ── connection takes it ──> caller
//	   └──── it doesn't ── kept ── sent as the caller reads ──> caller
//	                        └── nothing is read for maxStall ── connection closed
package spooler

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// maxBytes bounds what is kept for one connection. Whoever writes more waits.
	maxBytes = 256 << 10
	// maxStall is how long a caller may read nothing while bytes are kept for it, and maxBehind how long bytes may be
	// kept for it without a break.
	maxStall  = 5 * time.Second
	maxBehind = time.Minute
	// maxClosing bounds the connections that the server has closed and that are kept open for their readers. They
	// count among no listener's connections.
	maxClosing = 128
	// sendBufferBytes and receiveBufferBytes bound what the kernel keeps of a connection, which counts as memory of
	// the process.
	sendBufferBytes    = 128 << 10
	receiveBufferBytes = 256 << 10
	// flushPollInterval is the time between two checks of Flush.
	flushPollInterval = 20 * time.Millisecond
)

// Counter counts by name.
type Counter interface {
	Count(name string)
}

// Tasks starts goroutines.
type Tasks interface {
	Go(name string, task func())
}

// Spooler keeps answers for the connections of a listener. It is safe for concurrent use.
type Spooler struct {
	memory  *rationer.Rationer
	tasks   Tasks
	counter Counter
	logger  *slog.Logger
	spared  int64 // bytes of memory

	mu      sync.Mutex
	behind  int // connections for which bytes are kept
	closing int // those of them that the server has closed
}

// Option configures a Spooler.
type Option func(*Spooler)

// WithSpared leaves a number of bytes of the memory to others, so that slow readers don't use up what ordinary
// requests need.
func WithSpared(bytes int64) Option { return func(s *Spooler) { s.spared = bytes } }

// New returns a Spooler that reserves from memory what it keeps.
func New(memory *rationer.Rationer, tasks Tasks, counter Counter, logger *slog.Logger, options ...Option) *Spooler {
	s := &Spooler{memory: memory, tasks: tasks, counter: counter, logger: logger}
	for _, option := range options {
		option(s)
	}
	return s
}

// tryReserve reserves memory unless too little would be left to others.
func (s *Spooler) tryReserve(bytes int64) bool {
	return s.memory.TryAcquireSparing(bytes, s.spared)
}

// Behind returns the number of connections for which bytes are kept.
func (s *Spooler) Behind() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind
}

func (s *Spooler) addBehind(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind += n
}

// tryLinger counts a connection as closing. It returns false if there are too many.
func (s *Spooler) tryLinger() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing >= maxClosing {
		return false
	}
	s.closing++
	return true
}

func (s *Spooler) endLinger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing--
}

// Flush waits until nothing is kept or the context ends.
func (s *Spooler) Flush(ctx context.Context) {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for s.Behind() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// listener accepts connections of a Spooler.
type listener struct {
	net.Listener

	spooler *Spooler
}

// Wrap returns a listener that accepts the connections of another one.
func (s *Spooler) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, spooler: s} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Server compares it
	}
	return l.spooler.NewConn(accepted), nil
}

// NewConn returns a connection whose writer need not wait for the reader. Connections that are not TCP are returned
// as they are.
func (s *Spooler) NewConn(accepted net.Conn) net.Conn {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return accepted // closed already
	}
	_ = tcp.SetWriteBuffer(sendBufferBytes)   // works without it
	_ = tcp.SetReadBuffer(receiveBufferBytes) // works without it
	c := &conn{TCPConn: tcp, spooler: s, raw: raw}
	c.drained.L = &c.mu
	return c
}

// tryWrite writes as much as the kernel takes at once.
func tryWrite(raw syscall.RawConn, p []byte) (int, error) {
	var written int
	var writeErr error
	err := raw.Write(func(fd uintptr) bool {
		for written < len(p) && writeErr == nil {
			var n int
			n, writeErr = syscall.Write(int(fd), p[written:])
			written += max(n, 0)
			if writeErr == syscall.EINTR { //nolint:errorlint // a syscall returns it itself
				writeErr = nil
			}
		}
		return true
	})
	if err != nil {
		return 0, err //nolint:wrapcheck // as net.TCPConn
	}
	if writeErr == syscall.EAGAIN { //nolint:errorlint // a syscall returns it itself
		writeErr = nil
	}
	if writeErr != nil {
		writeErr = &net.OpError{Op: "write", Net: "tcp", Err: writeErr}
	}
	return written, writeErr
}
