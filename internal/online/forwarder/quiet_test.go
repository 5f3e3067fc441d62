package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
)

// quietTime is more than the time after which a link is suspected.
const quietTime = 600 * time.Millisecond

func newQuietForwarder(t *testing.T, quiet *atomic.Int32, options ...forwarder.Option) *forwarder.Forwarder {
	t.Helper()
	options = append(options, forwarder.WithOnQuiet(func(string) { quiet.Add(1) }))
	f := forwarder.New(func(h http.Header) string { return h.Get(idHeader) }, options...)
	t.Cleanup(f.Close)
	return f
}

// sendFor sends a request and gives up after a time.
func sendFor(t *testing.T, f *forwarder.Forwarder, address, id string, patience time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	answer, err := f.Send(ctx, forwarder.Attempt{
		Request: &http.Request{
			Method: http.MethodPost, Host: "a", URL: &url.URL{Opaque: "/x"}, Header: http.Header{idHeader: {id}},
		},
		ID: id, Address: address,
	})
	if err == nil {
		answer.Close()
	}
}

// Guards against: each open connection over a link that has become silent costs a request before the link
// is checked.
func TestSilentConnectionIsSuspected(t *testing.T) {
	expectSuspected := func(t *testing.T, answered int, want int32) {
		t.Helper()
		hang := make(chan struct{})
		defer close(hang)
		address := startUpstream(t, func(n int, r *http.Request) string {
			if n > answered {
				<-hang
				return ""
			}
			return text(r.Header.Get(idHeader), "")
		})
		var quiet atomic.Int32
		f := newQuietForwarder(t, &quiet)
		for _, id := range []string{"1", "2"} {
			if id == "1" && answered > 0 {
				_, err := send(t, f, address, id, nil)
				qt.Assert(t, err, qt.IsNil)
				continue
			}
			sendFor(t, f, address, id, quietTime)
		}
		qt.Check(t, quiet.Load(), qt.Equals, want)
	}
	t.Run("reused connection", func(t *testing.T) { expectSuspected(t, 1, 1) })
	t.Run("answered in time", func(t *testing.T) { expectSuspected(t, 2, 0) })
	t.Run("new connection, which has just shown that the link works", func(t *testing.T) { expectSuspected(t, 0, 0) })
}

// Guards against: in an overload, links are checked by connections that the upstreams must bear besides.
func TestQuietUpstreamBesideOthersThatAnswerIsSuspectedLater(t *testing.T) {
	expectSuspected := func(t *testing.T, patience time.Duration, want int32) {
		t.Helper()
		hang := make(chan struct{})
		defer close(hang)
		quietAddress := startUpstream(t, func(n int, r *http.Request) string {
			if n > 1 {
				<-hang
				return ""
			}
			return text(r.Header.Get(idHeader), "")
		})
		busyAddress := startUpstream(t, func(_ int, r *http.Request) string { return text(r.Header.Get(idHeader), "") })
		var quiet atomic.Int32
		f := newQuietForwarder(t, &quiet)
		_, err := send(t, f, quietAddress, "1", nil)
		qt.Assert(t, err, qt.IsNil)
		var group sync.WaitGroup
		group.Go(func() { sendFor(t, f, quietAddress, "2", patience) })
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			_, err := send(t, f, busyAddress, "other", nil)
			qt.Check(t, err, qt.IsNil)
		}
		group.Wait()
		qt.Check(t, quiet.Load(), qt.Equals, want)
	}
	t.Run("not yet", func(t *testing.T) { expectSuspected(t, quietTime, 0) })
	t.Run("in the end", func(t *testing.T) { expectSuspected(t, 3*quietTime, 1) })
}

// limitedConn is a connection that may not carry another request.
type limitedConn struct {
	*net.TCPConn
	reuseUntil time.Time
}

func (c limitedConn) ReuseUntil() time.Time { return c.reuseUntil }

// Guards against: a peer VM that shuts down gets new requests over connections that it carries.
func TestConnectionIsReusedOnlyAsLongAsItMayBe(t *testing.T) {
	expectDials := func(t *testing.T, reuseTime time.Duration, want int) {
		t.Helper()
		dials := 0
		address := startUpstream(t, func(_ int, r *http.Request) string { return text(r.Header.Get(idHeader), "") })
		var quiet atomic.Int32
		f := newQuietForwarder(t, &quiet, forwarder.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			dials++
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			qt.Assert(t, err, qt.IsNil)
			return limitedConn{TCPConn: conn.(*net.TCPConn), reuseUntil: time.Now().Add(reuseTime)}, nil
		}))
		for _, id := range []string{"1", "2", "3"} {
			_, err := send(t, f, address, id, nil)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, dials, qt.Equals, want)
	}
	t.Run("for long", func(t *testing.T) { expectDials(t, time.Minute, 1) })
	t.Run("not at all", func(t *testing.T) { expectDials(t, 0, 3) })
}

// Guards against: a connection that may carry no further request stays open, so that the peer VM which
// carries it waits for it when it shuts down.
func TestConnectionThatMayNotBeReusedIsClosed(t *testing.T) {
	closed := make(chan struct{})
	address := startUpstream(t, func(_ int, r *http.Request) string { return text(r.Header.Get(idHeader), "") })
	var quiet atomic.Int32
	f := newQuietForwarder(t, &quiet, forwarder.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		qt.Assert(t, err, qt.IsNil)
		limited := limitedConn{TCPConn: conn.(*net.TCPConn), reuseUntil: time.Now().Add(50 * time.Millisecond)}
		return closingConn{limitedConn: limited, closed: closed}, nil
	}))
	_, err := send(t, f, address, "1", nil)
	qt.Assert(t, err, qt.IsNil)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open")
	}
}

// closingConn tells that it was closed.
type closingConn struct {
	limitedConn
	closed chan struct{}
}

func (c closingConn) Close() error {
	close(c.closed)
	return c.limitedConn.Close()
}
