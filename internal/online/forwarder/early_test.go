package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

const (
	// longBodyBytes is more than the buffers of a connection hold, so that its write waits for the upstream.
	longBodyBytes = 24 << 20
	// earlyTestTime bounds what one of these tests waits for.
	earlyTestTime = 20 * time.Second
	// patience is how long the caller waits whose upstream never reads on.
	patience = 3 * time.Second
	// carriedReuseTime is how long a carried connection may be used again.
	carriedReuseTime = 2 * time.Second
)

// arrival is the body of the n-th request of a connection, as an upstream has read it.
type arrival struct {
	n    int
	body []byte
	err  error
}

// earlyUpstream answers each request once it has read its head, and its body only after that.
type earlyUpstream struct {
	address  string
	mayRead  chan struct{}
	arrivals chan arrival
	// reuseTime is how long a connection to it may be used again; 0 means longer than a test takes.
	reuseTime time.Duration
}

func startEarlyUpstream(t *testing.T) *earlyUpstream {
	t.Helper()
	u := &earlyUpstream{mayRead: make(chan struct{}), arrivals: make(chan arrival, 8)}
	server, err := rawresponder.New(func(_ int, r *http.Request) string { return text(r.Header.Get(idHeader), "early") },
		rawresponder.WithBodyReadLate(u.mayRead, func(n int, body []byte, err error) {
			u.arrivals <- arrival{n: n, body: body, err: err}
		}))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	u.address = server.Address()
	return u
}

// next returns the next body that has arrived.
func (u *earlyUpstream) next(t *testing.T) arrival {
	t.Helper()
	select {
	case a := <-u.arrivals:
		return a
	case <-time.After(earlyTestTime):
		t.Fatal("no body has arrived")
		return arrival{}
	}
}

type toAddress string

// Connect implements tunneler.Connector.
func (a toAddress) Connect(ctx context.Context, _ string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", string(a))
}

type uncounted struct{}

func (uncounted) Count(string) {}

// throughPeer returns an option by which all connections lead through a peer VM.
func throughPeer(t *testing.T, upstream string) forwarder.Option {
	t.Helper()
	carrier := tunneler.NewCarrier(toAddress(upstream), rationer.New(1<<20), uncounted{}, slog.New(slog.DiscardHandler))
	server := httptest.NewServer(carrier)
	t.Cleanup(server.Close)
	dial := (&net.Dialer{}).DialContext
	return forwarder.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		return tunneler.Open(ctx, dial, server.Listener.Addr().String(), "u", nil)
	})
}

// overOwnAndCarried runs a test over connections of the VM's own, and over those through a peer VM.
func overOwnAndCarried(t *testing.T, test func(t *testing.T, f *forwarder.Forwarder, u *earlyUpstream)) {
	t.Helper()
	run := func(t *testing.T, reuseTime time.Duration, option func(t *testing.T, address string) forwarder.Option) {
		t.Helper()
		u := startEarlyUpstream(t)
		u.reuseTime = reuseTime
		f := forwarder.New(func(h http.Header) string { return h.Get(idHeader) }, option(t, u.address))
		t.Cleanup(f.Close)
		test(t, f, u)
	}
	t.Run("own", func(t *testing.T) {
		run(t, 0, func(*testing.T, string) forwarder.Option { return forwarder.WithOnQuiet(func(string) {}) })
	})
	t.Run("carried", func(t *testing.T) { run(t, carriedReuseTime, throughPeer) })
}

// post sends a request and reads its answer, which the caller must close.
func post(ctx context.Context, t *testing.T, f *forwarder.Forwarder, address, id string, body []byte) *forwarder.Answer {
	t.Helper()
	answer, err := f.Send(ctx, forwarder.Attempt{
		Request: &http.Request{
			Method: http.MethodPost, Host: "a", URL: &url.URL{Opaque: "/x"}, Header: http.Header{idHeader: {id}},
		},
		ID: id, Address: address, Body: body,
	})
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, "early")
	return answer
}

// longBody returns a body in which each position has a byte of its own within any 251 bytes.
func longBody() []byte {
	body := make([]byte, longBodyBytes)
	for n := range body {
		body[n] = byte(n % 251)
	}
	return body
}

// Guards against: the next request of a connection stands where the rest of an answered request's body is due.
func TestBodyThatIsAnsweredEarlyArrivesWholeBeforeTheNextRequest(t *testing.T) {
	overOwnAndCarried(t, func(t *testing.T, f *forwarder.Forwarder, u *earlyUpstream) {
		body := longBody()
		began := time.Now()
		first := post(t.Context(), t, f, u.address, "id1", body)
		close(u.mayRead)
		got := u.next(t)
		qt.Assert(t, got.err, qt.IsNil)
		qt.Check(t, bytes.Equal(got.body, body), qt.IsTrue)
		first.Close()
		post(t.Context(), t, f, u.address, "id2", []byte("second")).Close()
		got = u.next(t)
		qt.Assert(t, got.err, qt.IsNil)
		qt.Check(t, string(got.body), qt.Equals, "second")
		if u.reuseTime == 0 || time.Since(began) < u.reuseTime {
			qt.Check(t, got.n, qt.Equals, 2, qt.Commentf("on the same connection"))
		} // a slow machine may take longer, and the connection is closed then
	})
}

// Guards against: a caller leaves while the body is written, and the connection is used again in the middle of it.
func TestConnectionOfACallerThatLeavesMidwayIsNotReused(t *testing.T) {
	overOwnAndCarried(t, func(t *testing.T, f *forwarder.Forwarder, u *earlyUpstream) {
		body := longBody()
		ctx, leave := context.WithCancel(t.Context())
		first := post(ctx, t, f, u.address, "id1", body)
		leave()
		first.Close()
		second := post(t.Context(), t, f, u.address, "id2", []byte("second"))
		close(u.mayRead)
		for range 2 {
			got := u.next(t)
			qt.Check(t, got.n, qt.Equals, 1, qt.Commentf("each on a connection of its own"))
			if got.err != nil {
				qt.Check(t, len(got.body) < len(body) && bytes.HasPrefix(body, got.body), qt.IsTrue)
				continue
			}
			qt.Check(t, string(got.body), qt.Equals, "second")
		}
		second.Close()
	})
}

// Guards against: an upstream answers and never reads the rest of the body, and whoever got its answer waits for
// as long as the caller does: the slot stays taken, and after a rejection no other upstream is tried.
func TestAnsweredRequestDoesNotWaitForABodyThatIsNeverRead(t *testing.T) {
	overOwnAndCarried(t, func(t *testing.T, f *forwarder.Forwarder, u *earlyUpstream) {
		body := longBody()
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		first := post(ctx, t, f, u.address, "id1", body)
		first.Close()
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("Close waited for the end of the context"))
		second := post(t.Context(), t, f, u.address, "id2", []byte("second"))
		close(u.mayRead)
		for range 2 {
			got := u.next(t)
			qt.Check(t, got.n, qt.Equals, 1, qt.Commentf("each on a connection of its own"))
			isSecond := got.err == nil && string(got.body) == "second"
			qt.Check(t, isSecond || bytes.HasPrefix(body, got.body), qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
		}
		second.Close()
	})
}

// Guards against: the write of a body's rest hangs after the answer, and the connection is kept with its request
// unfinished.
func TestConnectionWhoseRestIsNotWrittenIsClosed(t *testing.T) {
	overOwnAndCarried(t, func(t *testing.T, f *forwarder.Forwarder, u *earlyUpstream) {
		body := longBody()
		post(t.Context(), t, f, u.address, "id1", body).Close()
		f.Close() // waits for the write
		close(u.mayRead)
		got := u.next(t)
		qt.Check(t, got.err, qt.IsNotNil)
		qt.Check(t, len(got.body) < len(body) && bytes.HasPrefix(body, got.body), qt.IsTrue)
	})
}

// Guards against: upstreams that answer early and never read on make a VM hold any number of bodies for which
// no memory is reserved.
func TestRestsOfBodiesAreBounded(t *testing.T) {
	overOwnAndCarried(t, func(t *testing.T, f *forwarder.Forwarder, u *earlyUpstream) {
		body := longBody()
		post(t.Context(), t, f, u.address, "id1", body).Close()
		post(t.Context(), t, f, u.address, "id2", body).Close()
		close(u.mayRead)
		whole := 0
		for range 2 {
			if got := u.next(t); got.err == nil {
				whole++
			}
		}
		qt.Check(t, whole, qt.Equals, 1, qt.Commentf("the connection of the second is closed at once"))
	})
}
