// Package connserver serves connections byte by byte, as a faulty server does, and counts what clients read
// of them. It is for tests.
package connserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	// requestBytes is how much of a request is read before it is answered.
	requestBytes = 4 << 10
	// repetitions is how often endless bytes are repeated in one write.
	repetitions = 1 << 10
)

// Start serves each connection with a function once the start of a request has been read, until the test ends. It
// returns the address.
func Start(t testing.TB, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal("listen: ", err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // it is closed
			}
			group.Go(func() { answer(conn, serve) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

func answer(conn net.Conn, serve func(net.Conn)) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, requestBytes)); err == nil {
		serve(conn)
	}
}

// StartEndless answers each request with a beginning and then with the same bytes until the client closes.
func StartEndless(t testing.TB, begin, endless string) (address string) {
	t.Helper()
	return Start(t, func(conn net.Conn) { WriteEndless(conn, begin, endless) })
}

// WriteEndless writes a beginning and then the same bytes until writing fails.
func WriteEndless(to io.Writer, begin, endless string) {
	_, err := io.WriteString(to, begin)
	for chunk := strings.Repeat(endless, repetitions); err == nil; {
		_, err = io.WriteString(to, chunk)
	}
}

// ReadCounter counts the bytes that a client reads from its connections. Those that the kernel keeps are not the
// client's: they are bounded by the receive buffer.
type ReadCounter struct {
	bytes atomic.Int64
}

// Bytes returns the number of bytes that were read.
func (c *ReadCounter) Bytes() int64 { return c.bytes.Load() }

// Dial opens a connection whose bytes are counted.
func (c *ReadCounter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return countedConn{Conn: conn, counter: c}, nil
}

type countedConn struct {
	net.Conn
	counter *ReadCounter
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}
