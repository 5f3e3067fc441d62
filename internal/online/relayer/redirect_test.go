package relayer_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// Guards against: an upstream answers with a redirect, and the VM sends a request of its own, of another method,
// without a body, to wherever the redirect leads.
func TestRedirectOfAnUpstreamIsNotFollowed(t *testing.T) {
	expect := func(t *testing.T, status int, send func(r *relayer.Relayer, a relayer.Attempt) error) {
		t.Helper()
		var followed atomic.Int32
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Add(1) }))
		defer other.Close()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
			http.Redirect(w, r, other.URL+"/delete", status)
		}))
		defer server.Close()
		r := relayer.New(nil)
		defer r.CloseIdle()
		err := send(r, relayer.Attempt{
			ID: "attempt-1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/x", Body: []byte("{}"),
		})
		qt.Check(t, err, qt.ErrorIs, relayer.ErrRejected)
		qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanFailed)
		qt.Check(t, followed.Load(), qt.Equals, int32(0))
	}
	for _, status := range []int{301, 302, 303, 307, 308} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			for _, repeatable := range []bool{false, true} {
				expect(t, status, func(r *relayer.Relayer, a relayer.Attempt) error {
					_, err := r.Call(t.Context(), a, repeatable)
					return err
				})
			}
			expect(t, status, func(r *relayer.Relayer, a relayer.Attempt) error {
				stream, err := r.Open(t.Context(), a)
				if err == nil {
					stream.Close()
				}
				return err
			})
		})
	}
}
