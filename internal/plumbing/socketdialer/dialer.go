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
	// receiveBufferBytes bounds the bytes that a connection keeps unread. Without it, Linux lets the buffer
	// of a peer that sends fast grow to many megabytes, which count as memory of the process.
	receiveBufferBytes = 256 << 10
)

// keepAlive makes the kernel probe connections without traffic. With a user timeout, which New
// sets, Linux ignores the count, and ends a connection at the first probe that is due after the
// user timeout.
var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(maxSilence/probeInterval) - 1,
}

// New returns a dialer whose attempts to connect end after a timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setOptions}
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
		return fmt.Errorf("set options: %w", err)
	}
	return setOptions("", "", raw)
}

// setOptions sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay
// unacknowledged, and bounds the receive buffer. It is a net.Dialer.Control function.
func setOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes) //nolint:errcheck // works without it
		optionErr = syscall.SetsockoptInt(
			int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, int(maxSilence.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return fmt.Errorf("set options: %w", err)
	}
	return nil
}
