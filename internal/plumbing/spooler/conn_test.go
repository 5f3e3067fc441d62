package spooler

import (
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

type noTasks struct{}

func (noTasks) Go(string, func()) {}

// Guards against: CloseWrite sees that the last bytes were sent before send has ended, and is never woken again.
func TestCloseWriteReturnsOnceSendHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	dialed, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialed.Close() })
	s := New(rationer.New(1<<20), noTasks{}, counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler))
	c := s.NewConn(dialed).(*conn)
	c.mu.Lock()
	c.keep([]byte("x"))
	c.mu.Unlock()
	var group sync.WaitGroup
	returned := make(chan struct{})
	group.Go(func() {
		_ = c.CloseWrite()
		close(returned)
	})
	time.Sleep(20 * time.Millisecond) // CloseWrite waits
	c.sent(1, nil)
	time.Sleep(20 * time.Millisecond) // and waits on
	_, isDone := c.next()
	qt.Assert(t, isDone, qt.IsTrue)
	select {
	case <-returned:
	case <-time.After(5 * time.Second):
		t.Error("CloseWrite waits though nothing is kept")
		c.drained.Broadcast()
	}
	group.Wait()
}
