package batchserver_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/faces/batchserver"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// slowReader is a caller that reads the body of an answer after a minute. held is the sum of what such callers have not read.
type slowReader struct {
	*httptest.ResponseRecorder
	held *atomic.Int64
}

// Write implements http.ResponseWriter.
func (s slowReader) Write(body []byte) (int, error) {
	s.held.Add(int64(len(body)))
	time.Sleep(time.Minute)
	s.held.Add(-int64(len(body)))
	return s.ResponseRecorder.Write(body)
}

// expectBounded has many callers make the same call and read its answer slowly, and checks what is held for them.
func expectBounded(t *testing.T, operation batchserver.Operation, bodyBytes int) {
	const readers, budgetBytes = 50, 1 << 20
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		text := strings.Repeat("x", bodyBytes)
		items := []batchkeeper.Item{{ID: testItem, URI: "/x", Body: []byte(text)}}
		stored, _, err := s.keeper.Submit(t.Context(), batchkeeper.Submission{ID: testJob, Route: "r", Host: "h", Retention: time.Hour, Items: items})
		qt.Assert(t, err, qt.IsNil)
		_, err = s.keeper.Commit(t.Context(), stored, []batchkeeper.Result{{Item: testItem, Done: true, Output: []byte(text)}}, 0, nil)
		qt.Assert(t, err, qt.IsNil)
		memory := rationer.New(budgetBytes)
		server := batchserver.New(fixedCall{call: batchserver.Call{Operation: operation, Job: testJob, Item: testItem}}, s.keeper, s.keeper,
			noRunner{}, s.table.Limits, memory, counter.New(metrics.NewSet()), s.logger)
		var held atomic.Int64
		var whole, rejected atomic.Int32
		var group sync.WaitGroup
		for range readers {
			group.Go(func() {
				answer := slowReader{ResponseRecorder: httptest.NewRecorder(), held: &held}
				server.Serve(answer, httptest.NewRequest(http.MethodGet, "/", nil), gateway.JobContext{Table: s.table})
				switch {
				case answer.Code == http.StatusServiceUnavailable && answer.Header().Get("Retry-After") != "":
					rejected.Add(1)
				case answer.Code == http.StatusOK && answer.Body.Len() >= bodyBytes:
					whole.Add(1)
				}
			})
		}
		time.Sleep(30 * time.Second)
		qt.Check(t, held.Load() <= budgetBytes/2, qt.IsTrue, qt.Commentf("%d bytes are held", held.Load()))
		qt.Check(t, memory.Available() >= budgetBytes/2, qt.IsTrue)
		group.Wait()
		qt.Check(t, memory.Available(), qt.Equals, int64(budgetBytes))
		qt.Check(t, whole.Load() > 0, qt.IsTrue)
		qt.Check(t, whole.Load()+rejected.Load(), qt.Equals, int32(readers))
	})
}

// Guards against: callers that read bodies of items or pages of results slowly take a VM over its memory, as what they have not read
// is reserved nowhere.
func TestAnswersToSlowReadersStayWithinTheMemory(t *testing.T) {
	const long, short = 100 << 10, 10 << 10
	t.Run("bodies", func(t *testing.T) { expectBounded(t, batchserver.OperationBody, long) })
	t.Run("results", func(t *testing.T) { expectBounded(t, batchserver.OperationResults, long) })
	t.Run("short bodies need none", func(t *testing.T) { expectBounded(t, batchserver.OperationBody, short) })
}
