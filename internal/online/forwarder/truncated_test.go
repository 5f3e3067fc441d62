package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// Guards against: an upstream stops in the middle of its answer and closes in order, and the part that
// has arrived seems whole.
func TestAnswerThatStopsAnywhereIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": id\r\nContent-Type: text/plain\r\n"
	expectTruncated := func(t *testing.T, whole string, stops int) {
		t.Helper()
		for n := range stops {
			server, err := rawresponder.New(func(int, *http.Request) string { return whole[:n] }, rawresponder.WithClose())
			qt.Assert(t, err, qt.IsNil)
			_, err = send(t, newForwarder(t), server.Address(), "id", nil)
			server.Close()
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("after %q", whole[:n]))
		}
	}
	t.Run("length", func(t *testing.T) {
		whole := head + "Content-Length: 12\r\n\r\nhello, world"
		expectTruncated(t, whole, len(whole))
	})
	t.Run("chunks", func(t *testing.T) {
		whole := head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
		expectTruncated(t, whole, len(whole))
	})
	t.Run("neither", func(t *testing.T) { // from its first byte on, the end of the connection is the end
		whole := head + "\r\nhello"
		expectTruncated(t, whole, strings.Index(whole, "hello"))
	})
	t.Run("interim answer", func(t *testing.T) {
		whole := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"
		expectTruncated(t, whole, len(whole))
	})
}
