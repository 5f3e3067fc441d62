package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
)

const (
	// restTimeout bounds the write of what is left of a body whose request has its whole answer. Beyond
	// maxRestBytes of such bodies no more are written: their callers no longer hold memory for them.
	restTimeout  = 2 * time.Second
	maxRestBytes = 8 << 20
)

// Answer is the answer to one attempt. Its body is read from the connection; Close
// must be called.
type Answer struct {
	forwarder      *Forwarder
	connection     *connection
	ctx            context.Context //nolint:containedctx // belongs to the attempt, not to one call
	stopCancelHook func() bool
	response       *http.Response
	longBodyBytes  int64      // of a large body
	bodyWritten    chan error // receives the result of writing a large body; nil for other bodies
	reused         bool
	received       bool // at least one byte of the body
	complete       bool
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Reused returns whether the connection had carried a request before this one.
func (a *Answer) Reused() bool { return a.reused }

// ThroughPeer returns whether a peer VM carries the connection.
func (a *Answer) ThroughPeer() bool {
	_, ok := a.connection.net.(*tunneler.Conn)
	return ok
}

// Header returns the HTTP header.
func (a *Answer) Header() http.Header { return a.response.Header }

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	a.received = a.received || n > 0
	if errors.Is(err, io.EOF) {
		if headvalidator.IsUnframed(a.response) && a.endedEarly() {
			return n, io.ErrUnexpectedEOF
		}
		a.complete = true
	}
	return n, err //nolint:wrapcheck // io.EOF must not be wrapped
}

// endedEarly returns whether an unframed body has ended because the upstream has. A body
// without a byte never counts as complete.
func (a *Answer) endedEarly() bool {
	return !a.received || a.forwarder.Refuses(a.ctx, a.connection.address)
}

// Close ends the answer. Its connection is kept for reuse if the body was read to its
// end, the request was written completely, and the upstream neither sent more bytes
// nor announced that it will close the connection. Otherwise it is closed.
//
// An upstream may answer before it has read a large body, and read on later. Close doesn't wait for that:
// the rest is written within restTimeout, and the connection kept or closed then.
func (a *Answer) Close() {
	a.connection.limiter.release()
	reusable := a.complete && !a.response.Close && a.connection.reader.Buffered() == 0
	if !a.stopCancelHook() || !reusable {
		a.abort()
		return
	}
	if a.bodyWritten == nil {
		a.forwarder.pushIdle(a.connection, a.response.Header)
		return
	}
	select {
	case err := <-a.bodyWritten:
		a.release(err)
	default:
		a.awaitRest()
	}
}

// awaitRest closes or keeps the connection once the rest of the body is written, or closes it at once if too
// many bytes are held for such bodies.
func (a *Answer) awaitRest() {
	f := a.forwarder
	if others := f.restBytes.Add(a.longBodyBytes) - a.longBodyBytes; others >= maxRestBytes {
		f.restBytes.Add(-a.longBodyBytes)
		a.abort()
		return
	}
	_ = a.connection.net.SetWriteDeadline(time.Now().Add(restTimeout)) // if it fails, so does the write
	f.writers.Go(func() {
		defer f.restBytes.Add(-a.longBodyBytes)
		a.release(<-a.bodyWritten)
	})
}

// release keeps the connection of an answer that is closed, unless writing the request has failed: its upstream
// would take the next request for the rest of this one.
func (a *Answer) release(writeErr error) {
	if writeErr != nil || a.connection.net.SetWriteDeadline(time.Time{}) != nil {
		a.abort()
		return
	}
	a.forwarder.pushIdle(a.connection, a.response.Header)
}

// abort closes the connection.
func (a *Answer) abort() {
	a.connection.limiter.release()
	a.stopCancelHook()
	_ = a.connection.net.Close()
}
