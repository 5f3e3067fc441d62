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

	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	userTimeout = 2 * time.Second
	// optionTCPUserTimeout is Linux's TCP_USER_TIMEOUT. Package syscall lacks it on
	// amd64.
	optionTCPUserTimeout = 18
)

// keepAlive makes the kernel probe idle connections, to detect peers that vanished
// without a reset.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket. It is a net.Dialer.Control
// function.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(
			int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
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
	limiter := &headLimiter{source: conn}
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

// pushIdle keeps a connection for the next request to the same upstream, or closes it
// if the idle limit is reached.
func (f *Forwarder) pushIdle(c *connection, header http.Header) {
	c.expires = time.Now().Add(idleTimeout(header))
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle[c.address]) >= f.idleLimit {
		_ = c.net.Close()
		return
	}
	f.idle[c.address] = append(f.idle[c.address], c)
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

// CloseIdle closes the idle connections to an address.
func (f *Forwarder) CloseIdle(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.idle[address] {
		_ = c.net.Close()
	}
	delete(f.idle, address)
}
