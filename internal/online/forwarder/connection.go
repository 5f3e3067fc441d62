package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/resetdetector"
)

const (
	// defaultIdleLimit bounds the idle connections to one upstream until SetIdleLimit
	// is called.
	defaultIdleLimit = 16
	// defaultIdleTimeout applies if the upstream sends no Keep-Alive timeout.
	// idleMargin is subtracted from a timeout that it does send, so that a connection
	// isn't reused while the upstream is closing it. maxIdleTimeout caps the result.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = 400 * time.Millisecond
	maxIdleTimeout     = 30 * time.Second
)

// connection is a connection to one upstream, with the state to reuse it.
type connection struct {
	net     net.Conn
	address string
	limiter *headLimiter
	reader  *bufio.Reader // reads through limiter
	used    bool          // an answer has been read from it
	carried []string      // IDs of the last requests, oldest first
	expires time.Time     // when it must no longer be reused, if it is idle
}

// connect returns a healthy idle connection, or dials a new one. Idle connections that
// have expired or have unexpected input are closed.
//
// A connection that has carried a request with the same ID is not used: an upstream that
// repeats its rejection of that one would seem to reject this one, which runs.
func (f *Forwarder) connect(ctx context.Context, address, id string) (*connection, error) {
	now := time.Now()
	for {
		c, found := f.popIdle(address, id)
		if !found {
			break
		}
		if now.Before(c.expires) && c.inputEmpty() {
			return c, nil
		}
		_ = c.net.Close()
	}
	conn, err := f.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	conn = resetdetector.Wrap(conn)
	limiter := &headLimiter{source: conn, lastInput: f.lastInput(address), reservation: f.memory.NewReservation()}
	if _, isCarried := conn.(*tunneler.Conn); !isCarried {
		limiter.linkInput = &f.linkInput
	}
	return &connection{net: conn, address: address, limiter: limiter, reader: bufio.NewReader(limiter)}, nil
}

// popIdle removes and returns the most recently used idle connection to an address that has
// carried no request with the given ID.
func (f *Forwarder) popIdle(address, id string) (*connection, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle := f.idle[address]
	for n, c := range slices.Backward(idle) {
		if !slices.Contains(c.carried, id) {
			f.idle[address] = slices.Delete(idle, n, n+1)
			return c, true
		}
	}
	return nil, false
}

// maxCarried bounds the IDs that a connection remembers.
const maxCarried = 8

// recordCarried records the ID of a request that is sent over the connection.
func (c *connection) recordCarried(id string) {
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
}

// SetIdleLimit sets the maximum number of idle connections to one upstream. It should be
// this VM's share of the upstream's own limit, which counts the connections of all VMs
// together.
func (f *Forwarder) SetIdleLimit(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idleLimit = n
}

// reuseLimiter is a connection that may carry further requests only until a time.
type reuseLimiter interface {
	ReuseUntil() time.Time
}

// bufferedConn is a connection that reads ahead.
type bufferedConn interface {
	Buffered() int
}

// pushIdle keeps a connection for the next request to the same upstream, or closes it
// if the idle limit is reached. One that may be reused for a time only is closed then: a peer VM
// may be waiting for its end.
func (f *Forwarder) pushIdle(c *connection, header http.Header) {
	c.expires = time.Now().Add(idleTimeout(header))
	if limited, ok := c.net.(reuseLimiter); ok && limited.ReuseUntil().Before(c.expires) {
		c.expires = limited.ReuseUntil()
		time.AfterFunc(time.Until(c.expires), func() { f.closeIfIdle(c) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle[c.address]) >= f.idleLimit {
		_ = c.net.Close()
		return
	}
	f.idle[c.address] = append(f.idle[c.address], c)
}

// closeIfIdle closes a connection unless it carries a request.
func (f *Forwarder) closeIfIdle(c *connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle := f.idle[c.address]
	if n := slices.Index(idle, c); n >= 0 {
		f.idle[c.address] = slices.Delete(idle, n, n+1)
		_ = c.net.Close()
	}
}

// idleTimeout returns how long a connection may stay idle: the timeout in the answer's
// Keep-Alive header minus idleMargin, at most maxIdleTimeout, or else
// defaultIdleTimeout.
func idleTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(max(time.Duration(seconds)*time.Second-idleMargin, 0), maxIdleTimeout)
		}
	}
	return defaultIdleTimeout
}

// inputEmpty returns whether an idle connection has neither been closed by the
// upstream nor received bytes that belong to no request. It peeks at the socket
// without blocking, and returns false for connections that have no file descriptor.
func (c *connection) inputEmpty() bool {
	if ahead, ok := c.net.(bufferedConn); ok && ahead.Buffered() > 0 {
		return false
	}
	source, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	inputEmpty := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		inputEmpty = err == syscall.EAGAIN //nolint:errorlint // Recvfrom returns bare Errno values
		return true
	})
	return err == nil && inputEmpty
}

// RetainAddresses discards what is kept of all addresses except the given ones, and closes the idle
// connections to them.
func (f *Forwarder) RetainAddresses(ids map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address := range f.inputs {
		if _, listed := ids[address]; !listed {
			f.closeIdle(address)
			delete(f.inputs, address)
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (f *Forwarder) CloseIdle(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeIdle(address)
}

// closeIdle is CloseIdle. The caller must hold mu.
func (f *Forwarder) closeIdle(address string) {
	for _, c := range f.idle[address] {
		_ = c.net.Close()
	}
	delete(f.idle, address)
}
