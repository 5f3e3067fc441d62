package relayer_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

const (
	// resetBodyBytes is more than a narrow connection takes, so that its write waits for the service.
	resetBodyBytes = 1 << 20
	resetPause     = 3 * time.Millisecond
	resetRounds    = 20
)

// callUnframed calls a service that answers early with neither a length nor chunks, and then ends the connection, and
// returns how many of the calls got a whole answer.
func callUnframed(t *testing.T, end rawresponder.Option) (whole int) {
	t.Helper()
	server, err := rawresponder.New(func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": " + r.Header.Get(upstream.HeaderRequestID) + "\r\n\r\npart"
	}, end)
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	r := relayer.New(nil)
	defer r.CloseIdle()
	for range resetRounds {
		answer, err := r.Call(t.Context(), relayer.Attempt{
			ID: "id", Address: server.Address(), Method: http.MethodPost, Path: "/x", Body: make([]byte, resetBodyBytes),
		}, false)
		if err == nil {
			whole++
			qt.Check(t, string(answer.Body()), qt.Equals, "part")
		} else {
			qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanMaybe)
		}
	}
	return whole
}

// Guards against: a service resets the connection during an upload, the goroutine that writes the upload learns of it alone,
// and the part of the answer that has arrived seems whole, in the product's own interface.
func TestPartBeforeAResetDuringAnUploadIsNotWhole(t *testing.T) {
	qt.Check(t, callUnframed(t, rawresponder.WithResetDuringUpload(resetPause)), qt.Equals, 0)
}

// Guards against: the answer of a service that ends its side in order and never reads the rest of the upload is taken for a
// broken one.
func TestAnswerWithAnOrderlyEndDuringAnUploadIsWhole(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	qt.Check(t, callUnframed(t, rawresponder.WithOrderlyEndDuringUpload(hold)), qt.Equals, resetRounds)
}
