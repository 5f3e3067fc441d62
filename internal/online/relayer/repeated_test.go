package relayer_test

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// rejection returns a rejection of a request that has not run. An empty ID is left out.
func rejection(id string) string {
	header := ""
	if id != "" {
		header = upstream.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n",
		header, upstream.HeaderNotRun)
}

// Guards against: an upstream repeats the rejection of an earlier request on a reused
// connection, and a request that runs there is taken for one that has not run.
func TestRepeatedRejectionIsNotTakenForThatOfAnotherRequest(t *testing.T) {
	expect := func(t *testing.T, second string, want relayer.Ran) {
		t.Helper()
		server, err := rawresponder.New(func(n int, _ *http.Request) string {
			if n == 1 {
				return rejection("attempt-1")
			}
			return second
		})
		qt.Assert(t, err, qt.IsNil)
		defer server.Close()
		r := relayer.New(nil)
		defer r.CloseIdle()
		for n, want := range []relayer.Ran{relayer.RanNot, want} {
			_, err := r.Open(t.Context(), relayer.Attempt{
				ID: fmt.Sprint("attempt-", n+1), Address: server.Address(), Method: http.MethodPost, Path: upstream.PathChat,
				Body: []byte("{}"),
			})
			qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, want)
		}
	}
	t.Run("its own", func(t *testing.T) { expect(t, rejection("attempt-2"), relayer.RanNot) })
	t.Run("the earlier one", func(t *testing.T) { expect(t, rejection("attempt-1"), relayer.RanMaybe) })
	t.Run("one without an ID", func(t *testing.T) { expect(t, rejection(""), relayer.RanMaybe) })
}
