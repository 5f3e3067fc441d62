// Package socketdialer opens TCP connections on which the kernel notices a peer that vanished
// without a reset.
package socketdialer

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// maxSilence is how long a peer may acknowledge nothing before the kernel closes the
	// connection. A sound peer may be silent for a second or so.
	maxSilence = 4 * time.Second
	// probeInterval is the time between two probes of a connection that is idle or waits for
	// data.
	probeInterval = time.Second
	// optionTCPUserTimeout is Linux's TCP_USER_TIMEOUT. Package syscall lacks it on
	// amd64.
	optionTCPUserTimeout = 18
)

// keepAlive makes the kernel probe connections without traffic. With a user timeout, which New
// sets, Linux ignores the count, and ends a connection at the first probe that is due after the
// user timeout.
var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(maxSilence/probeInterval) - 1,
}

// New returns a dialer whose attempts to connect end after a timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Tune applies the options of New's connections to an accepted one.
func Tune(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil // a pipe of a test
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return setUserTimeout("", "", raw)
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay
// unacknowledged. It is a net.Dialer.Control function.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(
			int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, int(maxSilence.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}
