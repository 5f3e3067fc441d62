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

// slowCrowd is callers that all make the same call at one VM, and read its answers slowly.
type slowCrowd struct {
	t      *testing.T
	site   *site
	server *batchserver.Server
	memory *rationer.Rationer // for submissions
	bytes  int                // least length of a whole answer
}

const (
	slowReaders = 50
	budgetBytes = 1 << 20 // memory for submissions; half as much is for answers
)

// withSlowCrowd runs a test on a VM that has a job with one item, whose body and output have a length.
func withSlowCrowd(t *testing.T, operation batchserver.Operation, bytes int, test func(c *slowCrowd)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &slowCrowd{t: t, site: newSite(t), memory: rationer.New(budgetBytes), bytes: bytes}
		s, text := c.site, strings.Repeat("x", bytes)
		items := []batchkeeper.Item{{ID: testItem, URI: "/x", Body: []byte(text)}}
		stored, _, err := s.keeper.Submit(t.Context(), batchkeeper.Submission{ID: testJob, Route: "r", Host: "h", Retention: time.Hour, Items: items})
		qt.Assert(t, err, qt.IsNil)
		_, err = s.keeper.Commit(t.Context(), stored, []batchkeeper.Result{{Item: testItem, Done: true, Output: []byte(text)}}, 0, nil)
		qt.Assert(t, err, qt.IsNil)
		call := fixedCall{call: batchserver.Call{Operation: operation, Job: testJob, Item: testItem}}
		c.server = batchserver.New(call, s.keeper, s.keeper, noRunner{}, s.table.Limits, c.memory, counter.New(metrics.NewSet()), s.logger)
		test(c)
	})
}

// read makes the call once, and returns whether the answer came whole. Otherwise it must be a rejection.
func (c *slowCrowd) read(w http.ResponseWriter, answer *httptest.ResponseRecorder) bool {
	c.server.Serve(w, httptest.NewRequest(http.MethodGet, "/", nil), gateway.JobContext{Table: c.site.table})
	if answer.Code != http.StatusOK {
		qt.Check(c.t, answer.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(c.t, answer.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		return false
	}
	qt.Check(c.t, answer.Body.Len() >= c.bytes, qt.IsTrue)
	return true
}

// readSlowly has all callers make the call, checks what is held for them, and returns how many got the whole answer.
func (c *slowCrowd) readSlowly() int32 {
	var held atomic.Int64
	var whole atomic.Int32
	var group sync.WaitGroup
	for range slowReaders {
		group.Go(func() {
			answer := httptest.NewRecorder()
			if c.read(slowReader{ResponseRecorder: answer, held: &held}, answer) {
				whole.Add(1)
			}
		})
	}
	time.Sleep(30 * time.Second)
	qt.Check(c.t, held.Load() <= budgetBytes/2, qt.IsTrue, qt.Commentf("%d bytes are held", held.Load()))
	group.Wait()
	return whole.Load()
}

// Guards against: callers that read bodies of items or pages of results slowly take a VM over its memory, as what they have not read
// is reserved nowhere, or is never returned.
func TestAnswersToSlowReadersStayWithinTheMemory(t *testing.T) {
	const long, short = 100 << 10, 10 << 10
	expect := func(t *testing.T, operation batchserver.Operation, bytes int) {
		t.Helper()
		withSlowCrowd(t, operation, bytes, func(c *slowCrowd) {
			first := c.readSlowly()
			qt.Check(c.t, first > 0, qt.IsTrue)
			qt.Check(c.t, c.readSlowly(), qt.Equals, first)
		})
	}
	t.Run("bodies", func(t *testing.T) { expect(t, batchserver.OperationBody, long) })
	t.Run("results", func(t *testing.T) { expect(t, batchserver.OperationResults, long) })
	t.Run("short bodies need none", func(t *testing.T) { expect(t, batchserver.OperationBody, short) })
}

// Guards against: jobs that a VM runs hold the memory for submissions for as long as they run, and no results of more than some KiB can
// be read there meanwhile.
func TestResultsAreReadableWhileJobsHoldTheMemory(t *testing.T) {
	withSlowCrowd(t, batchserver.OperationResults, 100<<10, func(c *slowCrowd) {
		qt.Assert(c.t, c.memory.TryAcquire(budgetBytes), qt.IsTrue)
		answer := httptest.NewRecorder()
		qt.Check(c.t, c.read(answer, answer), qt.IsTrue)
	})
}
