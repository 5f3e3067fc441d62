package relayer_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// Guards against: an upstream stops in the middle of its answer and closes in order, and the part that
// has arrived seems whole, in the product's own interface.
func TestAnswerThatStopsAnywhereIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": id\r\nContent-Type: text/plain\r\n"
	attempt := func(address string) relayer.Attempt {
		return relayer.Attempt{ID: "id", Address: address, Method: http.MethodPost, Path: "/x", Body: []byte("{}")}
	}
	call := func(t *testing.T, r *relayer.Relayer, address string) error {
		_, err := r.Call(t.Context(), attempt(address), false)
		return err
	}
	open := func(t *testing.T, r *relayer.Relayer, address string) error {
		stream, err := r.Open(t.Context(), attempt(address))
		for err == nil {
			if _, err = stream.Next(); err != nil {
				stream.Close()
			}
		}
		return err
	}
	expectTruncated := func(
		t *testing.T, whole string, stops int, send func(*testing.T, *relayer.Relayer, string) error,
	) {
		t.Helper()
		for n := range stops {
			server, err := rawresponder.New(func(int, *http.Request) string { return whole[:n] }, rawresponder.WithClose())
			qt.Assert(t, err, qt.IsNil)
			r := relayer.New(nil)
			err = send(t, r, server.Address())
			r.CloseIdle()
			server.Close()
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("after %q", whole[:n]))
			ran := relayer.AsAttemptError(err).Ran()
			qt.Check(t, ran, qt.Equals, relayer.RanMaybe, qt.Commentf("after %q", whole[:n]))
		}
	}
	t.Run("service, length", func(t *testing.T) {
		whole := head + "Content-Length: 12\r\n\r\nhello, world"
		expectTruncated(t, whole, len(whole), call)
	})
	t.Run("service, chunks", func(t *testing.T) {
		whole := head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
		expectTruncated(t, whole, len(whole), call)
	})
	t.Run("service, neither", func(t *testing.T) { // from its first byte on, the end of the connection is the end
		whole := head + "\r\nhello"
		expectTruncated(t, whole, strings.Index(whole, "hello"), call)
	})
	t.Run("stream, until its end marker", func(t *testing.T) {
		whole := head + "\r\ndata: {\"id\":\"id\"}\n\ndata: " + upstream.EndOfStream + "\n\n"
		expectTruncated(t, whole, len(whole)-1, open)
	})
}
