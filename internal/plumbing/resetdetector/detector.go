// Package resetdetector makes the end of a TCP connection that was broken off look different from an orderly one,
// whichever goroutine learns of it first.
//
// Linux reports the error of a connection once, to whichever call comes first. If that is a write, the next read
// returns what has arrived and then the end of the connection, as if the other side had ended it in order. The body of an
// answer with neither a length nor chunks then seems complete:
//
//	upstream                     writing goroutine         reading goroutine
//	sends a part and a reset     write: ECONNRESET         read: the part; read: EOF
//	sends all and ends in order  write goes on             read: all of it; read: EOF
//	the same, and resets later   write: EPIPE              read: all of it; read: EOF
//
// So the outcome of the write decides: a connection that is reset after its orderly end gives EPIPE, any other that is
// lost gives another error.
package resetdetector

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a dial function whose connections are those of Wrap.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
}

// Wrap returns a connection whose reads return io.EOF only if the other side has ended it in order. A connection that
// isn't one of TCP is returned as it is.
func Wrap(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &conn{Conn: c, tcp: tcp}
}

// conn is a TCP connection that remembers how it was lost.
type conn struct {
	net.Conn
	tcp *net.TCPConn

	mu   sync.Mutex // held during writes, which the connection makes one after another anyway
	lost error      // of the first call that found the connection lost
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.tcp.SyscallConn() //nolint:wrapcheck // as net.TCPConn
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.tcp.Write(p)
	c.recordLoss(err)
	return n, err //nolint:wrapcheck // as net.TCPConn
}

// recordLoss records the outcome of a call. The caller must hold mu.
func (c *conn) recordLoss(err error) {
	if err != nil && c.lost == nil && isLoss(err) {
		c.lost = err
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if err != nil {
		err = c.endError(err)
	}
	return n, err //nolint:wrapcheck // as net.TCPConn
}

// endError returns the error of a read, but io.EOF only if the connection has ended in order. While the other side has ended
// only its own half, a write may wait for as long as that side likes; once all of the connection has ended, one that is
// still in progress returns at once.
func (c *conn) endError(err error) error {
	if c.isOpenForWrites() {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLoss(err)
	if c.lost != nil {
		return c.lost
	}
	return err
}

// isOpenForWrites returns whether the kernel may still send what is written.
func (c *conn) isOpenForWrites() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isOpen = err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return err == nil && isOpen
}

// isLoss returns whether an error of a call means that the connection was lost before the other side ended it.
func isLoss(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
