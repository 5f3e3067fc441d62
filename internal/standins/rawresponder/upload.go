package rawresponder

import (
	"net"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/standins/narrowlistener"
)

// uploadEnd is how a connection ends whose request was answered while its body is written.
type uploadEnd struct {
	pause   time.Duration
	inOrder bool
	hold    <-chan struct{}
}

// WithResetDuringUpload answers each request once its head is read, and resets the connection after a pause.
// The rest of the request's body is never read.
func WithResetDuringUpload(pause time.Duration) Option {
	return func(r *Responder) { r.end = &uploadEnd{pause: pause} }
}

// WithOrderlyEndDuringUpload answers each request once its head is read, and then ends its side of the
// connection in order. It resets the connection when hold is closed. The rest of the request's body is never read.
func WithOrderlyEndDuringUpload(hold <-chan struct{}) Option {
	return func(r *Responder) { r.end = &uploadEnd{inOrder: true, hold: hold} }
}

// apply ends a connection that was answered.
func (e *uploadEnd) apply(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if e.inOrder {
		_ = tcp.CloseWrite()
		<-e.hold
	}
	time.Sleep(e.pause)
	_ = tcp.SetLinger(0) // closing the connection then resets it
}

// listen listens on loopback.
func (r *Responder) listen() (net.Listener, error) {
	if r.end != nil {
		return narrowlistener.Listen(loopback) //nolint:wrapcheck // New wraps it
	}
	return net.Listen("tcp", loopback) //nolint:wrapcheck // New wraps it
}

// loopback is any free port of loopback.
const loopback = "127.0.0.1:0"
