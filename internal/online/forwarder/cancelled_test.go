package forwarder_test

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

// Guards against: a request that was cancelled before it was sent reaches an upstream over an idle connection:
// an item whose job has ended, or the request of a caller that has left.
func TestCancelledRequestIsNotSentOverAnIdleConnection(t *testing.T) {
	const attempts = 50
	var cancelled atomic.Int32
	address := startUpstream(t, func(_ int, r *http.Request) string {
		if r.Header.Get(idHeader) == "cancelled" {
			cancelled.Add(1)
		}
		return text(r.Header.Get(idHeader), "ok")
	})
	f := newForwarder(t)
	ended, end := context.WithCancel(t.Context())
	end()
	sent := 0
	for range attempts {
		_, err := send(t, f, address, "sent", nil) // leaves an idle connection
		qt.Assert(t, err, qt.IsNil)
		answer, err := f.Send(ended, forwarder.Attempt{
			Request: &http.Request{
				Method: http.MethodPost, Host: "a.example", URL: &url.URL{Opaque: "/x"},
				Header: http.Header{idHeader: {"cancelled"}},
			},
			ID: "cancelled", Address: address,
		})
		switch {
		case err == nil:
			answer.Close()
			sent++
		case relayer.AsAttemptError(err).Ran() != relayer.RanNot:
			sent++
		}
	}
	qt.Check(t, sent, qt.Equals, 0, qt.Commentf("requests that may have been sent"))
	qt.Check(t, int(cancelled.Load()), qt.Equals, 0, qt.Commentf("requests that have arrived"))
}
