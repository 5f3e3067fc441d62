// Package rawresponder answers HTTP requests with exact bytes, as an upstream that breaks the
// protocol does. It is for tests.
package rawresponder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Answer returns the bytes that answer the n-th request on a connection, counted from 1; ""
// closes the connection. The body of the request has been read, and can be read again.
type Answer func(n int, r *http.Request) string

// Responder is a server on loopback.
type Responder struct {
	listener    net.Listener
	closesAfter int          // number of answers; 0 means never
	late        *lateReading // nil if bodies are read before they are answered
	end         *uploadEnd   // nil if requests are read whole
	group       sync.WaitGroup
}

// Option sets one property of a Responder.
type Option func(*Responder)

// WithClose closes each connection in order after its first answer.
func WithClose() Option { return WithCloseAfter(1) }

// WithCloseAfter closes each connection in order after a number of answers.
func WithCloseAfter(answers int) Option {
	return func(r *Responder) { r.closesAfter = answers }
}

// lateBufferBytes is the receive buffer of a connection whose bodies are read late.
const lateBufferBytes = 64 << 10

// lateReading is how bodies are read that are answered first.
type lateReading struct {
	mayRead <-chan struct{}
	read    func(n int, body []byte, err error)
}

// WithBodyReadLate answers requests before their bodies are read. Each body is read once a receive from
// mayRead succeeds, and given to a function with the number of its request on the connection. Until then
// little more than lateBufferBytes of it fits into the connection.
func WithBodyReadLate(mayRead <-chan struct{}, read func(n int, body []byte, err error)) Option {
	return func(r *Responder) { r.late = &lateReading{mayRead: mayRead, read: read} }
}

// New starts a Responder.
func New(answer Answer, options ...Option) (*Responder, error) {
	r := &Responder{}
	for _, option := range options {
		option(r)
	}
	listener, err := r.listen()
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r.listener = listener
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
	if tcp, ok := conn.(*net.TCPConn); ok && r.late != nil {
		_ = tcp.SetReadBuffer(lateBufferBytes) // without it, only more of the body fits
	}
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		unread := request.Body
		if r.end != nil {
			_, _ = io.WriteString(conn, answer(n, request))
			r.end.apply(conn)
			return
		}
		if r.late == nil {
			body, _ := io.ReadAll(unread)
			request.Body = io.NopCloser(bytes.NewReader(body))
		}
		text := answer(n, request)
		if text == "" {
			return
		}
		_, _ = io.WriteString(conn, text)
		if n == r.closesAfter || (r.late != nil && !r.late.readBody(n, unread)) {
			return
		}
	}
}

// readBody reads the body of a request that was answered. It returns false if it doesn't arrive whole.
func (l *lateReading) readBody(n int, from io.Reader) bool {
	<-l.mayRead
	body, err := io.ReadAll(from)
	l.read(n, body, err)
	return err == nil
}
