package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// startRawUpstream starts an upstream that answers the requests of each connection, in order,
// with the given bytes, and then closes it.
func startRawUpstream(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveRaw(conn, answers)
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer)
	}
}

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
		address := startRawUpstream(t, rejection("attempt-1"), second)
		r := relayer.New(nil)
		defer r.Close()
		for n, want := range []relayer.Ran{relayer.RanNot, want} {
			_, err := r.Open(t.Context(), relayer.Attempt{
				ID: fmt.Sprint("attempt-", n+1), Address: address, Method: http.MethodPost, Path: upstream.PathChat,
				Body: []byte("{}"),
			})
			qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, want)
		}
	}
	t.Run("its own", func(t *testing.T) { expect(t, rejection("attempt-2"), relayer.RanNot) })
	t.Run("the earlier one", func(t *testing.T) { expect(t, rejection("attempt-1"), relayer.RanMaybe) })
	t.Run("one without an ID", func(t *testing.T) { expect(t, rejection(""), relayer.RanMaybe) })
}
