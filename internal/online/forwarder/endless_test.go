package forwarder_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

// maxBytesRead is far more than one answer head plus the kernel's socket buffers, and
// far less than a VM's memory.
const maxBytesRead = 16 << 20

// endlessUpstream answers with a fixed beginning and then repeats the same bytes until
// the connection is closed or 64 MiB are written. It counts the repeated bytes.
type endlessUpstream struct {
	address string
	written atomic.Int64
	closed  chan struct{}
}

func startEndlessUpstream(t *testing.T, beginning, repeated string) *endlessUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u := &endlessUpstream{address: listener.Addr().String(), closed: make(chan struct{})}
	chunk := bytes.Repeat([]byte(repeated), 1+(16<<10)/len(repeated))
	var group sync.WaitGroup
	group.Go(func() {
		defer close(u.closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, beginning); err != nil {
			return
		}
		for u.written.Load() < 64<<20 {
			n, err := conn.Write(chunk)
			u.written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return u
}

// sendTo sends a request and reads at most maxBytes of the answer's body.
func sendTo(t *testing.T, address string, maxBytes int64) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	answer, err := newForwarder(t).Send(ctx, forwarder.Attempt{
		Request: &http.Request{Method: http.MethodGet, Host: "a", URL: &url.URL{Opaque: "/"}, Header: http.Header{}},
		ID:      "id1", Address: address,
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(answer, maxBytes))
	return err
}

// http.ReadResponse reads heads of any length into memory. An upstream that sends an
// endless head, or endless answers that don't match the request, must not exhaust the
// VM's memory.
func TestEndlessAnswerIsAborted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": id1\r\n"
	expectAborted := func(t *testing.T, beginning, repeated string) {
		t.Helper()
		u := startEndlessUpstream(t, beginning, repeated)
		err := sendTo(t, u.address, 32<<20)
		expectRan(t, err, relayer.RanMaybe)
		<-u.closed
		qt.Check(t, u.written.Load() < maxBytesRead, qt.IsTrue, qt.Commentf("upstream wrote %d bytes", u.written.Load()))
	}
	t.Run("header fields", func(t *testing.T) { expectAborted(t, head, "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n") })
	t.Run("status line", func(t *testing.T) { expectAborted(t, "HTTP/1.1 200 ", "O") })
	t.Run("interim answers", func(t *testing.T) { expectAborted(t, "", "HTTP/1.1 100 Continue\r\n\r\n") })
	t.Run("answers to other requests", func(t *testing.T) {
		expectAborted(t, "", "HTTP/1.1 200 OK\r\n"+idHeader+": other\r\nContent-Length: 3\r\n\r\nabc")
	})
	t.Run("bytes that are no answer", func(t *testing.T) { expectAborted(t, "", "\x00\xff") })
}

// A chunked body whose trailer, chunk size or chunk extension never ends must fail
// before the deadline, and before maxBytesRead bytes are read.
func TestMalformedChunkedBodyIsAborted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": id1\r\nTransfer-Encoding: chunked\r\n\r\n"
	expectBroken := func(t *testing.T, beginning, repeated string) {
		t.Helper()
		u := startEndlessUpstream(t, head+beginning, repeated)
		err := sendTo(t, u.address, 32<<20)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsFalse)
		<-u.closed
		qt.Check(t, u.written.Load() < maxBytesRead, qt.IsTrue, qt.Commentf("upstream wrote %d bytes", u.written.Load()))
	}
	t.Run("trailer", func(t *testing.T) { expectBroken(t, "3\r\nabc\r\n0\r\n", "X-Filler: aaaaaaaaaaaaaa\r\n") })
	t.Run("chunk size", func(t *testing.T) { expectBroken(t, "", "1") })
	t.Run("chunk extension", func(t *testing.T) { expectBroken(t, "3;", "e=e;") })
}
