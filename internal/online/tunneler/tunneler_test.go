package tunneler_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const memoryBytes = 1 << 20

// connector connects to one upstream, or fails.
type connector struct {
	address string
	err     error
}

func (c connector) Connect(ctx context.Context, upstream string) (net.Conn, error) {
	if c.err != nil {
		return nil, c.err
	}
	if upstream != "u 1" {
		return nil, tunneler.ErrUnlisted
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
}

type noCounter struct{}

func (noCounter) Count(string) {}

// startUpstream starts a server that serves one connection.
func startUpstream(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group sync.WaitGroup
	group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		serve(conn.(*net.TCPConn))
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// startCarrier starts a peer VM and returns it with its address and a function that kills it.
func startCarrier(t *testing.T, c connector) (carrier *tunneler.Carrier, address string, kill func()) {
	t.Helper()
	carrier = tunneler.NewCarrier(c, rationer.New(memoryBytes), noCounter{}, slog.New(slog.DiscardHandler))
	mux := http.NewServeMux()
	mux.Handle("GET "+tunneler.Path, carrier)
	server := httptest.NewUnstartedServer(mux)
	var mu sync.Mutex
	var conns []net.Conn
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if state == http.StateNew {
			conns = append(conns, conn)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return carrier, server.Listener.Addr().String(), func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func open(t *testing.T, address string) *tunneler.Conn {
	t.Helper()
	conn, err := tunneler.Open(t.Context(), (&net.Dialer{}).DialContext, address, "u 1", nil)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func expectOpenError(t *testing.T, address string, want error) {
	t.Helper()
	_, err := tunneler.Open(t.Context(), (&net.Dialer{}).DialContext, address, "u 1", nil)
	qt.Check(t, err, qt.ErrorIs, want)
}

func echo(conn *net.TCPConn) { _, _ = io.Copy(conn, conn) }

func TestBytesTravelUnchanged(t *testing.T) {
	_, address, _ := startCarrier(t, connector{address: startUpstream(t, echo)})
	conn := open(t, address)
	text := strings.Repeat("0123456789", 100_000)
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.WriteString(conn, text) })
	got, err := io.ReadAll(io.LimitReader(conn, int64(len(text))))
	group.Wait()
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(got) == text, qt.IsTrue)
	qt.Check(t, conn.Buffered(), qt.Equals, 0)
	qt.Check(t, conn.ReuseUntil().After(time.Now()), qt.IsTrue)
}

// Guards against: an answer that ends with its connection seems complete though the upstream was
// reset or the peer VM that carries it has ended.
func TestOnlyAnOrderlyEndIsAnEnd(t *testing.T) {
	expectEnd := func(t *testing.T, end func(conn *net.TCPConn), killed, wantOrderly bool) {
		t.Helper()
		proceed := make(chan struct{})
		_, address, kill := startCarrier(t, connector{address: startUpstream(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "abc")
			<-proceed
			end(conn)
		})})
		conn := open(t, address)
		text := make([]byte, 3)
		_, err := io.ReadFull(conn, text)
		qt.Assert(t, err, qt.IsNil)
		if killed {
			kill()
		}
		close(proceed)
		_, err = conn.Read(text)
		qt.Check(t, err == io.EOF, qt.Equals, wantOrderly, qt.Commentf("%v", err)) //nolint:errorlint // readers compare so
	}
	inOrder := func(*net.TCPConn) {}
	t.Run("orderly", func(t *testing.T) { expectEnd(t, inOrder, false, true) })
	t.Run("reset", func(t *testing.T) {
		expectEnd(t, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, false, false)
	})
	t.Run("peer VM ended", func(t *testing.T) { expectEnd(t, inOrder, true, false) })
}

// Guards against: an upstream works on for a caller that has left.
func TestUpstreamSeesThatTheOtherVMHasLeft(t *testing.T) {
	left := make(chan struct{})
	carrier, address, _ := startCarrier(t, connector{address: startUpstream(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(left)
	})})
	conn := open(t, address)
	qt.Check(t, carrier.Tunnels(), qt.Equals, 1)
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-left
}

func TestReasonsOfRejection(t *testing.T) {
	reasons := []error{
		tunneler.ErrRefused, tunneler.ErrUnanswered, tunneler.ErrNoLink, tunneler.ErrUnlisted, tunneler.ErrBusy,
	}
	for _, reason := range reasons {
		t.Run(reason.Error(), func(t *testing.T) {
			_, address, _ := startCarrier(t, connector{err: reason})
			_, err := tunneler.Open(t.Context(), (&net.Dialer{}).DialContext, address, "u 1", nil)
			qt.Check(t, err, qt.Equals, reason)
		})
	}
	expectStatus := func(t *testing.T, status int, want error) {
		t.Helper()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(server.Close)
		expectOpenError(t, server.Listener.Addr().String(), want)
	}
	t.Run("earlier release", func(t *testing.T) { expectStatus(t, http.StatusNotFound, tunneler.ErrIncapable) })
	t.Run("another fleet", func(t *testing.T) { expectStatus(t, http.StatusMisdirectedRequest, tunneler.ErrIncapable) })
	t.Run("no memory", func(t *testing.T) {
		carrier := tunneler.NewCarrier(connector{}, rationer.New(10), noCounter{}, slog.New(slog.DiscardHandler))
		server := httptest.NewServer(carrier)
		t.Cleanup(server.Close)
		expectOpenError(t, server.Listener.Addr().String(), tunneler.ErrBusy)
	})
}

// Guards against: a VM that shuts down cuts the requests of other VMs that it carries.
func TestDrainWaitsForOpenConnections(t *testing.T) {
	carrier, address, _ := startCarrier(t, connector{address: startUpstream(t, echo)})
	conn := open(t, address)
	carrier.Drain()
	expectOpenError(t, address, tunneler.ErrBusy)
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		carrier.Wait(context.Background())
		close(ended)
	})
	_, err := io.WriteString(conn, "still here")
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, len("still here")))
	qt.Check(t, err, qt.IsNil)
	select {
	case <-ended:
		t.Error("Wait returned while a connection was open")
	default:
	}
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-ended
	group.Wait()
}
