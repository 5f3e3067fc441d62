package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

const (
	// resetBodyBytes is more than a narrow connection takes, so that its write waits for the upstream.
	resetBodyBytes = 1 << 20
	// resetPause is the time between an answer and the reset of its connection.
	resetPause = 3 * time.Millisecond
	// resetRounds is how often a reset is met: which goroutine learns of it is a matter of luck.
	resetRounds = 20
	unframed    = "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\n\r\npart"
)

// forUnframedAnswers runs a test against an upstream that answers early with neither a length nor chunks, over
// connections of the VM's own and over those through a peer VM.
func forUnframedAnswers(t *testing.T, end rawresponder.Option, test func(t *testing.T, f *forwarder.Forwarder, address string)) {
	run := func(t *testing.T, option func(t *testing.T, address string) forwarder.Option) {
		server, err := rawresponder.New(func(_ int, r *http.Request) string {
			return fmt.Sprintf(unframed, r.Header.Get(idHeader))
		}, end)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(server.Close)
		test(t, newForwarder(t, option(t, server.Address())), server.Address())
	}
	t.Run("own", func(t *testing.T) {
		run(t, func(*testing.T, string) forwarder.Option { return forwarder.WithOnQuiet(func(string) {}) })
	})
	t.Run("carried", func(t *testing.T) { run(t, throughPeer) })
}

// readAfter sends a request with a long body, and reads the body of its answer after a pause.
func readAfter(t *testing.T, f *forwarder.Forwarder, address, id string, pause time.Duration) (string, error) {
	t.Helper()
	answer, err := f.Send(t.Context(), forwarder.Attempt{
		Request: &http.Request{
			Method: http.MethodPost, Host: "a", URL: &url.URL{Opaque: "/x"}, Header: http.Header{idHeader: {id}},
		},
		ID: id, Address: address, Body: make([]byte, resetBodyBytes),
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	time.Sleep(pause)
	got, err := io.ReadAll(answer)
	return string(got), err
}

// Guards against: an upstream resets the connection during an upload, the goroutine that writes the upload learns of it
// alone, and the part of the answer that has arrived seems whole.
func TestPartBeforeAResetDuringAnUploadIsNotWhole(t *testing.T) {
	forUnframedAnswers(t, rawresponder.WithResetDuringUpload(resetPause), func(t *testing.T, f *forwarder.Forwarder, address string) {
		for _, pause := range []time.Duration{0, 5 * resetPause} {
			whole := 0
			for n := range resetRounds {
				if _, err := readAfter(t, f, address, fmt.Sprint("id", n), pause); err == nil {
					whole++
				}
			}
			qt.Check(t, whole, qt.Equals, 0, qt.Commentf("of %d parts that were read %v after their heads", resetRounds, pause))
		}
	})
}

// Guards against: the answer of an upstream that ends its side in order and never reads the rest of the upload is taken for
// a broken one.
func TestAnswerWithAnOrderlyEndDuringAnUploadIsWhole(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	forUnframedAnswers(t, rawresponder.WithOrderlyEndDuringUpload(hold), func(t *testing.T, f *forwarder.Forwarder, address string) {
		for n := range 3 {
			got, err := readAfter(t, f, address, fmt.Sprint("id", n), time.Duration(n)*resetPause)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, "part")
		}
	})
}
