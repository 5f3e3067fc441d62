package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// defaultIdleLimit bounds the connections that are kept to one upstream if the
	// upstream's own limit isn't known.
	defaultIdleLimit = 16
	// defaultIdle is how long a connection is kept if the upstream doesn't say,
	// and idleMargin is how long before the upstream's own limit it is given up.
	defaultIdle = 4 * time.Second
	idleMargin  = 400 * time.Millisecond
	maxIdle     = 30 * time.Second

	// userTimeout ends a connection whose bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
)

// keepAlive finds connections that went silent without a reset.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// setUserTimeout is a Control function of a dialer.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

// connect returns an idle connection that still looks sound, or a new one.
func (f *Forwarder) connect(ctx context.Context, address string) (*connection, error) {
	now := time.Now()
	for {
		c, found := f.take(address)
		if !found {
			break
		}
		if now.Before(c.expires) && c.quiet() {
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

func (f *Forwarder) take(address string) (*connection, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.idle[address]
	if len(kept) == 0 {
		return nil, false
	}
	c := kept[len(kept)-1]
	f.idle[address] = kept[:len(kept)-1]
	return c, true
}

// SetIdleLimit bounds the connections that are kept to one upstream, which takes
// a number of them from all VMs together.
func (f *Forwarder) SetIdleLimit(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idleLimit = n
}

// keep keeps a connection for the next request to the same upstream.
func (f *Forwarder) keep(c *connection, header http.Header) {
	c.expires = time.Now().Add(idleTime(header))
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle[c.address]) >= f.idleLimit {
		_ = c.net.Close()
		return
	}
	f.idle[c.address] = append(f.idle[c.address], c)
}

// idleTime returns how long a connection may stay idle before the upstream
// closes it, with a margin.
func idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(max(time.Duration(seconds)*time.Second-idleMargin, 0), maxIdle)
		}
	}
	return defaultIdle
}

// quiet tells whether nothing has come in on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *connection) quiet() bool {
	source, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN //nolint:errorlint // Recvfrom returns bare numbers
		return true
	})
	return err == nil && quiet
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
