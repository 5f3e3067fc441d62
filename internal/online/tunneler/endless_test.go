package tunneler_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
)

// maxReplyBytes bounds what may be read of the reply of a peer VM.
const maxReplyBytes = 16 << 10

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// startEndlessPeer answers one connection with a beginning and then with the same bytes until it is closed.
func startEndlessPeer(t *testing.T, begin, endless string) (address string) {
	t.Helper()
	return startUpstream(t, func(conn *net.TCPConn) {
		_, err := io.WriteString(conn, begin)
		for chunk := strings.Repeat(endless, 1<<10); err == nil; {
			_, err = io.WriteString(conn, chunk)
		}
	})
}

// Guards against: a reply of a peer VM without end, which is kept until memory is exhausted.
func TestEndlessReplyIsAborted(t *testing.T) {
	expectAborted := func(t *testing.T, begin, endless string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var read atomic.Int64
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countedConn{Conn: conn, read: &read}, err
		}
		_, err := tunneler.Open(ctx, dial, startEndlessPeer(t, begin, endless), "u 1", nil)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("aborted only when its context ended"))
		qt.Check(t, read.Load() <= maxReplyBytes, qt.IsTrue, qt.Commentf("%d bytes were read", read.Load()))
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
