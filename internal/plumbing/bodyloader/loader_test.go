package bodyloader_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/bodyloader"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	maxBytes    = 1 << 20
	budgetBytes = 2 << 20
)

// Guards against: bodies of other VMs that take more than the VM's memory, or that never end.
func TestBodiesAreBounded(t *testing.T) {
	expectError := func(t *testing.T, head, body string, available int64, want error) {
		t.Helper()
		budget := rationer.New(budgetBytes)
		qt.Assert(t, budget.TryAcquire(budgetBytes-available), qt.IsTrue)
		loaded := make(chan error, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			reservation := budget.NewReservation()
			_, err := bodyloader.Load(w, r, maxBytes, reservation)
			reservation.Release()
			loaded <- err
		}))
		defer server.Close()
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+head+"\r\n\r\n"+body) // fails if the server has closed
		err = <-loaded
		qt.Check(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, budget.Available(), qt.Equals, available)
	}
	const chunked = "Transfer-Encoding: chunked"
	endless := strings.Repeat("10\r\n0123456789abcdef\r\n", maxBytes/8)
	t.Run("sound", func(t *testing.T) { expectError(t, "Content-Length: 3", "abc", budgetBytes, nil) })
	t.Run("announced as too long", func(t *testing.T) {
		expectError(t, "Content-Length: 900000000000", "abc", budgetBytes, bodyloader.ErrTooLong)
	})
	t.Run("no memory for its length", func(t *testing.T) {
		expectError(t, "Content-Length: 100000", strings.Repeat("a", 100_000), 10, rationer.ErrExhausted)
	})
	t.Run("no memory for chunks", func(t *testing.T) {
		expectError(t, chunked, "3\r\nabc\r\n0\r\n\r\n", 10, rationer.ErrExhausted)
	})
	t.Run("endless chunks", func(t *testing.T) { expectTooLong(t, chunked, endless) })
}

// expectTooLong sends a body of chunks that exceeds the limit, and checks that it is rejected before its end.
func expectTooLong(t *testing.T, head, body string) {
	t.Helper()
	loaded := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := bodyloader.Load(w, r, maxBytes, rationer.New(4*maxBytes).NewReservation())
		loaded <- err
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+head+"\r\n\r\n"+body) // fails if the server has closed
	var tooLong *http.MaxBytesError
	qt.Check(t, <-loaded, qt.ErrorAs, &tooLong)
}
