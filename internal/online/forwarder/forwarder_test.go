package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

const idHeader = "Call-Id"

// startUpstream starts an upstream that answers with the given bytes until the end of the
// test, and returns its address.
func startUpstream(t *testing.T, answer rawresponder.Answer, options ...rawresponder.Option) string {
	t.Helper()
	server, err := rawresponder.New(answer, options...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	return server.Address()
}

func newForwarder(t *testing.T, options ...forwarder.Option) *forwarder.Forwarder {
	t.Helper()
	f := forwarder.New(func(h http.Header) string { return h.Get(idHeader) }, options...)
	t.Cleanup(f.Close)
	return f
}

func text(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func send(t *testing.T, f *forwarder.Forwarder, address, id string, body []byte) (string, error) {
	t.Helper()
	answer, err := f.Send(t.Context(), forwarder.Attempt{
		Request: &http.Request{
			Method: http.MethodPost, Host: "a.example", URL: &url.URL{Opaque: "/x"},
			Header: http.Header{idHeader: {id}},
		},
		ID: id, Address: address, Body: body,
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	got, err := io.ReadAll(answer)
	return string(got), err
}

func expectAnswers(t *testing.T, answer func(n int, r *http.Request) string, want ...string) {
	t.Helper()
	f, address := newForwarder(t), startUpstream(t, answer)
	for i, w := range want {
		got, err := send(t, f, address, fmt.Sprint("id", i+1), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, w)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	expectAnswers(t, func(n int, r *http.Request) string {
		return text(r.Header.Get(idHeader), fmt.Sprint(n))
	}, "1", "2", "3")
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	f := newForwarder(t)
	f.SetIdleLimit(0)
	address := startUpstream(t, func(n int, r *http.Request) string {
		return text(r.Header.Get(idHeader), fmt.Sprint(n))
	})
	for range 2 {
		got, err := send(t, f, address, "id1", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "1", qt.Commentf("the first on its connection"))
	}
}

func TestLateSecondAnswerIsSkipped(t *testing.T) {
	expectAnswers(t, func(n int, r *http.Request) string {
		current := text(r.Header.Get(idHeader), fmt.Sprint(n))
		if n == 2 {
			return text("id1", "late") + current
		}
		return current
	}, "1", "2", "3")
}

// Guards against: an item is rejected and sent once more to the same upstream, which repeats
// its rejection, so that the item seems not to run and is sent to another upstream as well.
func TestRepeatedRejectionIsNotTakenForThatOfTheSameRequestSentAgain(t *testing.T) {
	f := newForwarder(t)
	address := startUpstream(t, func(n int, r *http.Request) string {
		id := r.Header.Get(idHeader)
		if n > 1 {
			return text("id1", "rejected") + text(id, "repeated")
		}
		return text(id, "first on its connection")
	})
	for range 3 {
		got, err := send(t, f, address, "id1", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "first on its connection")
	}
	got, err := send(t, f, address, "id2", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "repeated")
}

func TestLargeBodyIsWrittenCompletely(t *testing.T) {
	var size int64
	f := newForwarder(t)
	address := startUpstream(t, func(_ int, r *http.Request) string {
		size = r.ContentLength
		return text(r.Header.Get(idHeader), "ok")
	})
	got, err := send(t, f, address, "id1", make([]byte, 200<<10))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "ok")
	qt.Check(t, size, qt.Equals, int64(200<<10))
}

func expectRan(t *testing.T, err error, want relayer.Ran) {
	t.Helper()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, want)
}

func TestFailures(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, listener.Close(), qt.IsNil)
		_, err = send(t, newForwarder(t), listener.Addr().String(), "id1", nil)
		expectRan(t, err, relayer.RanNot)
	})
	t.Run("connection ends without an answer", func(t *testing.T) {
		address := startUpstream(t, func(int, *http.Request) string { return "" })
		_, err := send(t, newForwarder(t), address, "id1", nil)
		expectRan(t, err, relayer.RanMaybe)
	})
	t.Run("another request's answer", func(t *testing.T) {
		address := startUpstream(t, func(n int, _ *http.Request) string {
			if n == 1 {
				return text("other", "x")
			}
			return ""
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := newForwarder(t).Send(ctx, forwarder.Attempt{
			Request: &http.Request{Method: http.MethodGet, Host: "a", URL: &url.URL{Opaque: "/"}, Header: http.Header{}},
			ID:      "id1", Address: address,
		})
		expectRan(t, err, relayer.RanMaybe)
	})
	t.Run("an answer without length that breaks off", func(t *testing.T) {
		address := startUpstream(t, func(int, *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": id1\r\nContent-Length: 10\r\n\r\nabc"
		})
		f := newForwarder(t)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		answer, err := f.Send(ctx, forwarder.Attempt{
			Request: &http.Request{Method: http.MethodGet, Host: "a", URL: &url.URL{Opaque: "/"}, Header: http.Header{}},
			ID:      "id1", Address: address,
		})
		qt.Assert(t, err, qt.IsNil)
		defer answer.Close()
		_, err = io.ReadAll(answer)
		qt.Check(t, err, qt.IsNotNil)
	})
}
