package rawresponder

import (
	"context"
	"net"
	"syscall"
	"time"
)

// A connection of a Responder that ends during uploads takes little of a request's body, as one over a slow
// link does. Without these bounds loopback takes megabytes at once, and the sender has written all of it
// before the connection ends.
const (
	narrowBufferBytes  = 8 << 10
	narrowSegmentBytes = 536
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

// listen listens on loopback. The options of the listener are those of its connections.
func (r *Responder) listen() (net.Listener, error) {
	config := net.ListenConfig{}
	if r.end != nil {
		config.Control = narrow
	}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0") //nolint:wrapcheck // New wraps it
}

// narrow bounds what a connection takes before it is read. It is a net.ListenConfig.Control function.
func narrow(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, narrowBufferBytes)
		if optionErr == nil {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, narrowSegmentBytes)
		}
	})
	if err == nil {
		err = optionErr
	}
	return err //nolint:wrapcheck // New wraps it
}
