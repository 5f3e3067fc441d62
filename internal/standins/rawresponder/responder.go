// Package rawresponder answers HTTP requests with exact bytes, as an upstream that breaks the
// protocol does. It is for tests.
package rawresponder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Answer returns the bytes that answer the n-th request on a connection, counted from 1; ""
// closes the connection.
type Answer func(n int, r *http.Request) string

// Responder is a server on loopback.
type Responder struct {
	listener    net.Listener
	closesAfter bool
	group       sync.WaitGroup
}

// Option sets one property of a Responder.
type Option func(*Responder)

// WithClose closes each connection in order after its first answer.
func WithClose() Option {
	return func(r *Responder) { r.closesAfter = true }
}

// New starts a Responder.
func New(answer Answer, options ...Option) (*Responder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Responder{listener: listener}
	for _, option := range options {
		option(r)
	}
	r.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // it is closed
			}
			r.group.Go(func() { r.serve(conn, answer) })
		}
	})
	return r, nil
}

// Address returns the address at which it listens.
func (r *Responder) Address() string { return r.listener.Addr().String() }

// Close ends the listener. Open connections end when their clients close them.
func (r *Responder) Close() { _ = r.listener.Close() }

func (r *Responder) serve(conn net.Conn, answer Answer) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := answer(n, request)
		if text == "" {
			return
		}
		_, _ = io.WriteString(conn, text)
		if r.closesAfter {
			return
		}
	}
}
