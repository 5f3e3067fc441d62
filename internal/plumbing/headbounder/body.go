package headbounder

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// boundBody returns a handler that ends a request whose body doesn't arrive in time, and whose connection may make
// room for others until the body is read. net/http reads what a handler leaves of a short body, without a deadline,
// and holds the head meanwhile. A handler that reads the body may set another deadline.
func (l *Listener) boundBody(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // a lost connection ends anyway
			l.setWaiting(c, time.Now())
			r = r.WithContext(r.Context()) // net/http looks at the body of its own request to decide what to read of it
			r.Body = &body{ReadCloser: r.Body, onEnd: func() { l.setWaiting(c, time.Time{}) }}
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request. It calls onEnd once it has been read.
type body struct {
	io.ReadCloser

	onEnd func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.onEnd != nil { //nolint:errorlint // readers return io.EOF itself
		b.onEnd()
		b.onEnd = nil
	}
	return n, err //nolint:wrapcheck // callers compare it
}
