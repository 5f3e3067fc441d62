package interrupter_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/resetdetector"
	"github.com/fescuespindle/fescuespindle/internal/standins/interrupter"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

func newProxy(t *testing.T) *interrupter.Proxy {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	proxy, err := interrupter.New(server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

// expectAnswer checks that a request over an open connection is answered.
func expectAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	n, err := conn.Read(make([]byte, 100))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, n > 0, qt.IsTrue)
}

func TestPartitionLeavesNewConnectionsUnanswered(t *testing.T) {
	proxy := newProxy(t)
	for range 3 {
		qt.Assert(t, proxy.Partition(), qt.IsNil)
		_, err := dial(t, proxy.Address())
		var timeout net.Error
		qt.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, proxy.Restart(), qt.IsNil)
		conn, err := dial(t, proxy.Address())
		qt.Assert(t, err, qt.IsNil)
		expectAnswer(t, conn)
	}
}

func TestRefuseKeepsOpenConnections(t *testing.T) {
	proxy := newProxy(t)
	conn, err := dial(t, proxy.Address())
	qt.Assert(t, err, qt.IsNil)
	expectAnswer(t, conn)
	proxy.Refuse()
	_, err = (&net.Dialer{}).DialContext(context.Background(), "tcp", proxy.Address())
	qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
	expectAnswer(t, conn)
}

// Guards against: a reset of the target seems an orderly end behind the proxy, or the other way round.
func TestConnectionsEndAsThoseBehindTheProxy(t *testing.T) {
	expectEnd := func(t *testing.T, want error, options ...rawresponder.Option) {
		t.Helper()
		server, err := rawresponder.New(func(int, *http.Request) string { return "part" }, options...)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(server.Close)
		proxy, err := interrupter.New(server.Address(), interrupter.WithNarrowSockets())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(proxy.Close)
		conn, err := dial(t, proxy.Address())
		qt.Assert(t, err, qt.IsNil)
		conn = resetdetector.Wrap(conn)
		var group sync.WaitGroup
		group.Go(func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1e6))
		})
		got, err := io.ReadAll(conn)
		qt.Check(t, string(got), qt.Equals, "part")
		if want == nil {
			qt.Check(t, err, qt.IsNil)
		} else {
			qt.Check(t, err, qt.ErrorIs, want)
		}
		_ = conn.Close()
		group.Wait()
	}
	t.Run("reset", func(t *testing.T) {
		for range 10 {
			expectEnd(t, syscall.ECONNRESET, rawresponder.WithResetDuringUpload(3*time.Millisecond))
		}
	})
	t.Run("in order", func(t *testing.T) {
		hold := make(chan struct{})
		t.Cleanup(func() { close(hold) })
		expectEnd(t, nil, rawresponder.WithOrderlyEndDuringUpload(hold))
	})
}
