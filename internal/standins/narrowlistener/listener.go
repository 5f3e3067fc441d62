// Package narrowlistener listens for connections that take little before they are read, as ones over a slow link do. On
// loopback others take megabytes at once, so that a sender has written all of a request before it learns how its connection ends.
// It is for tests.
package narrowlistener

import (
	"context"
	"net"
	"syscall"
)

// BufferBytes bounds what a connection takes.
const BufferBytes = 8 << 10

// segmentBytes bounds what its sender keeps, as Linux sizes that by segments.
const segmentBytes = 536

// Listen listens at an address (host:port).
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: bound}
	return config.Listen(context.Background(), "tcp", address) //nolint:wrapcheck // as net.Listen
}

// bound sets the options of a listener, which its connections inherit.
func bound(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, BufferBytes)
		if optionErr == nil {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		}
	})
	if err == nil {
		err = optionErr
	}
	return err //nolint:wrapcheck // as net.Listen
}
