package messenger_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/messenger"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// maxMessageBytes bounds a message, and maxBufferedBytes what the connection's buffers hold.
	maxMessageBytes  = 32 << 20
	maxBufferedBytes = 64 << 20
	budgetBytes      = 1 << 20
)

// badMessages counts the messages that could be read and not decoded.
type badMessages struct{ atomic.Int64 }

// Add implements messenger.Counter.
func (b *badMessages) Add(name string, n int) {
	if name == "peer_bad_messages_total" {
		b.Int64.Add(int64(n))
	}
}

// withConnection runs a test on a connection to a VM with a budget of memory.
func withConnection(
	t *testing.T, test func(ctx context.Context, conn *websocket.Conn, bad *badMessages, budget *rationer.Rationer),
) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	authenticator, bad, budget := messenger.NewAuthenticator([]byte("secret")), &badMessages{}, rationer.New(budgetBytes)
	m := messenger.New(peer.Sender{VM: "b"}, authenticator, func(peer.Sender, peer.Message) {}, bad, nil,
		messenger.WithMemory(budget))
	server := httptest.NewServer(m)
	defer server.Close()
	defer m.Close()
	conn, response, err := websocket.Dial(ctx, server.URL+messenger.Path, &websocket.DialOptions{
		HTTPHeader: authenticator.Header("a"),
	})
	qt.Assert(t, err, qt.IsNil)
	if response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	defer func() { _ = conn.CloseNow() }()
	test(ctx, conn, bad, budget)
}

// Guards against: a message in fragments without end, which is kept until memory is exhausted.
func TestEndlessMessageClosesTheConnection(t *testing.T) {
	withConnection(t, func(ctx context.Context, conn *websocket.Conn, _ *badMessages, budget *rationer.Rationer) {
		message, err := conn.Writer(ctx, websocket.MessageBinary)
		qt.Assert(t, err, qt.IsNil)
		sent, fragment := 0, make([]byte, 64<<10)
		for err == nil && sent <= maxMessageBytes+maxBufferedBytes {
			qt.Check(t, budget.Available() >= 0, qt.IsTrue)
			_, err = message.Write(fragment)
			sent += len(fragment)
		}
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d bytes were taken", sent))
		qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("closed only when the test's context ended"))
	})
}

// Guards against: long messages of many VMs take more than the VM's memory together.
func TestMessageWithoutMemoryIsDiscarded(t *testing.T) {
	withConnection(t, func(ctx context.Context, conn *websocket.Conn, bad *badMessages, budget *rationer.Rationer) {
		long := []byte(strings.Repeat("no message", 2*budgetBytes/10))
		qt.Assert(t, conn.Write(ctx, websocket.MessageBinary, long), qt.IsNil)
		qt.Assert(t, conn.Write(ctx, websocket.MessageBinary, []byte("no message")), qt.IsNil)
		for bad.Load() == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, bad.Load(), qt.Equals, int64(1), qt.Commentf("the short message alone is read"))
		for budget.Available() != budgetBytes && ctx.Err() == nil {
			time.Sleep(time.Millisecond) // until the message is handled
		}
		qt.Check(t, budget.Available(), qt.Equals, int64(budgetBytes))
	})
}
