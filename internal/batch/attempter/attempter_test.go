package attempter_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/attempter"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

const (
	runs        = 16
	budgetBytes = 512 << 10
	// maxHeldBytes bounds the output that all runs hold: half of the budget, as output grows by copies,
	// and what each may hold without a reservation.
	maxHeldBytes = budgetBytes/2 + runs*16<<10
)

// expectRuns runs items at an upstream at the same time, and returns what each run holds of its output after
// a second, and how all have ended.
func expectRuns(
	t *testing.T, upstream http.HandlerFunc, memory *rationer.Rationer, check func(held int, results []attempter.Result),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		defer network.Serve("u:1", upstream)()
		sender := forwarder.New(platform.Codec{}.AnswerID, forwarder.WithDial(network.Dial))
		defer sender.Close()
		slots := placer.New("vm", "d", map[string]string{"d": "r"})
		slots.SetUpstreams([]placer.Upstream{{ID: "u", Service: "s", Address: "u:1", Domain: "d", Sequences: 4 * runs}})
		c := courier.New(sender, slots, platform.Codec{}, slog.New(slog.DiscardHandler))
		var mu sync.Mutex
		var results []attempter.Result
		current := map[*attempter.LiveProgress]bool{}
		var group sync.WaitGroup
		for n := range runs {
			live := attempter.NewLiveProgress(batchkeeper.Progress{})
			mu.Lock() // the runs before may end meanwhile
			current[live] = true
			mu.Unlock()
			call := &courier.Call{ID: fmt.Sprint("item", n), Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}}
			group.Go(func() {
				slot, ok := slots.AcquireBatch(placer.BatchWork{Service: "s"}, time.Now())
				qt.Assert(t, ok, qt.IsTrue)
				result := attempter.Run(t.Context(), c, slot, call, live, memory)
				mu.Lock()
				defer mu.Unlock()
				delete(current, live)
				results = append(results, result)
			})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		mu.Lock()
		held := 0
		for live := range current {
			held += len(live.Progress().Output)
		}
		mu.Unlock()
		group.Wait()
		check(held, results)
	})
}

// stallAfter answers with events of 4 KiB and stalls after some of them.
func stallAfter(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range events {
			_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 4<<10)))
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// Guards against: a bound for each item's output, whose sum over many items is more than the VM's memory.
func TestOutputsShareTheirMemory(t *testing.T) {
	countNoMemory := func(results []attempter.Result) int {
		n := 0
		for _, result := range results {
			if result.Outcome == attempter.OutcomeNoMemory {
				n++
				qt.Check(t, len(result.Progress.Output), qt.Equals, 0)
			}
		}
		return n
	}
	t.Run("long outputs", func(t *testing.T) {
		memory := rationer.New(budgetBytes)
		expectRuns(t, stallAfter(100), memory, func(held int, results []attempter.Result) {
			qt.Check(t, held <= maxHeldBytes, qt.IsTrue, qt.Commentf("%d bytes are held", held))
			qt.Check(t, countNoMemory(results) > 0, qt.IsTrue)
		})
		qt.Check(t, memory.Available(), qt.Equals, int64(budgetBytes))
	})
	t.Run("short outputs need none", func(t *testing.T) {
		expectRuns(t, stallAfter(3), rationer.New(0), func(held int, results []attempter.Result) {
			qt.Check(t, held >= runs*3*4<<10, qt.IsTrue, qt.Commentf("%d bytes are held", held))
			qt.Check(t, countNoMemory(results), qt.Equals, 0)
		})
	})
}
