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
	listener net.Listener
	group    sync.WaitGroup
}

// New starts a Responder.
func New(answer Answer) (*Responder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Responder{listener: listener}
	r.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // it is closed
			}
			r.group.Go(func() { serve(conn, answer) })
		}
	})
	return r, nil
}

// Address returns the address at which it listens.
func (r *Responder) Address() string { return r.listener.Addr().String() }

// Close ends the listener. Open connections end when their clients close them.
func (r *Responder) Close() { _ = r.listener.Close() }

func serve(conn net.Conn, answer Answer) {
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
	}
}
