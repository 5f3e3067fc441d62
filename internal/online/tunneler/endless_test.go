package tunneler_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/standins/connserver"
)

// maxReplyBytes bounds what may be read of the reply of a peer VM.
const maxReplyBytes = 16 << 10

// Guards against: a reply of a peer VM without end, which is kept until memory is exhausted.
func TestEndlessReplyIsAborted(t *testing.T) {
	expectAborted := func(t *testing.T, begin, endless string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var read connserver.ReadCounter
		_, err := tunneler.Open(ctx, read.Dial, connserver.StartEndless(t, begin, endless), "u 1", nil)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("aborted only when its context ended"))
		qt.Check(t, read.Bytes() <= maxReplyBytes, qt.IsTrue, qt.Commentf("%d bytes were read", read.Bytes()))
	}
	t.Run("fields", func(t *testing.T) {
		expectAborted(t, "HTTP/1.1 101 Switching Protocols\r\n", "X-More: and more\r\n")
	})
	t.Run("one field", func(t *testing.T) {
		expectAborted(t, "HTTP/1.1 101 Switching Protocols\r\nX-Long: ", "more and more")
	})
	t.Run("status line", func(t *testing.T) { expectAborted(t, "HTTP/1.1 101 ", "O") })
	t.Run("no answer", func(t *testing.T) { expectAborted(t, "", "no answer at all") })
	t.Run("interim answers", func(t *testing.T) { expectAborted(t, "", "HTTP/1.1 100 Continue\r\n\r\n") })
	t.Run("body of a rejection", func(t *testing.T) {
		expectAborted(t, "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n")
	})
}

// Guards against: the bound of the reply is taken for one of what the connection carries afterwards.
func TestConnectionCarriesMoreThanAReply(t *testing.T) {
	const carried = 4 * maxReplyBytes
	_, address, _ := startCarrier(t, connector{address: startUpstream(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, strings.Repeat("a", carried))
	})})
	got, err := io.ReadAll(open(t, address))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, len(got), qt.Equals, carried)
}
