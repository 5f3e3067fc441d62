package eventsplitter_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// stalledEvent is a stream that stalls within a long event until its channel is closed.
type stalledEvent struct {
	start io.Reader
	ended chan struct{}
}

func (e *stalledEvent) Read(p []byte) (int, error) {
	n, err := e.start.Read(p)
	if err != nil {
		<-e.ended
	}
	return n, err
}

// Guards against: a bound for each event, whose sum over many streams is more than the VM's memory.
func TestLongEventsShareTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, budgetBytes = 64, 4 << 20
		budget := rationer.New(budgetBytes)
		long := strings.Repeat("x", eventsplitter.MaxEventBytes-64)
		var rejected atomic.Int64
		ended := make(chan struct{})
		var group sync.WaitGroup
		for range streams {
			group.Go(func() {
				stream := &stalledEvent{start: strings.NewReader("data: " + long), ended: ended}
				s := eventsplitter.New(stream, eventsplitter.WithMemory(budget))
				defer s.Close()
				if _, err := s.Next(); errors.Is(err, eventsplitter.ErrNoMemory) {
					rejected.Add(1)
				}
			})
		}
		synctest.Wait()
		const wantRejected = streams - budgetBytes/eventsplitter.MaxEventBytes
		qt.Check(t, rejected.Load() >= wantRejected, qt.IsTrue, qt.Commentf("%d of %d were rejected", rejected.Load(), streams))
		close(ended)
		group.Wait()
		qt.Check(t, budget.Available(), qt.Equals, int64(budgetBytes))
	})
}

// Guards against: memory for a long event that stays reserved as long as its stream lasts.
func TestMemoryForALongEventIsReturned(t *testing.T) {
	const budgetBytes = 4 << 20
	budget := rationer.New(budgetBytes)
	long := strings.Repeat("x", 100<<10)
	s := eventsplitter.New(strings.NewReader("data: "+long+"\n\nid: 2\ndata: b\n\n"), eventsplitter.WithMemory(budget))
	event, err := s.Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(event.AppendData(nil)) == long, qt.IsTrue)
	qt.Check(t, budget.Available() < budgetBytes-100<<10, qt.IsTrue)
	event, err = s.Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, event.ID(), qt.Equals, "2")
	qt.Check(t, budget.Available(), qt.Equals, int64(budgetBytes))
	s.Close()
}
