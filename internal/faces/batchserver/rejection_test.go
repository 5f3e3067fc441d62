package batchserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/faces/batchserver"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
)

const (
	testJob        = "j"
	testItem       = "item0"
	arrivedBytes   = 345
	tableRecords   = "jobs"
	tableOfContent = "jobContent"
)

// fixedCall is a codec that decodes every request as the same call.
type fixedCall struct {
	platform.Codec
	call batchserver.Call
}

// DecodeJobCall implements batchserver.Codec.
func (f fixedCall) DecodeJobCall(*http.Request) (batchserver.Call, bool, error) {
	return f.call, true, nil
}

// failingReads is a store whose reads of one table fail.
type failingReads struct {
	rowstore.Store
	table string
	fail  func(ctx context.Context) error
}

// Range implements rowstore.Store.
func (f failingReads) Range(
	ctx context.Context, table, part, from, to string,
) (rowstore.Snapshot, string, error) {
	if table == f.table {
		return rowstore.Snapshot{}, "", f.fail(ctx)
	}
	return f.Store.Range(ctx, table, part, from, to) //nolint:wrapcheck // a test
}

// logLine has the attributes of a rejected call's log line.
type logLine struct {
	Message  string        `json:"msg"`
	Job      string        `json:"job"`
	Part     int           `json:"part"`
	Status   int           `json:"status"`
	Error    string        `json:"error"`
	Table    string        `json:"table"`
	Attempts int           `json:"attempts"`
	LastTook time.Duration `json:"lastTook"`
	Outcome  string        `json:"outcome"`
	Bytes    int           `json:"bytes"`
}

// rejectionOf returns the log line of a read of an item's body that a store fails. The job exists
// unless the store is empty.
func rejectionOf(t *testing.T, rows *rowemulator.Store, table string, fail func(context.Context) error) logLine {
	t.Helper()
	return rejectionOfCall(t, batchserver.OperationBody, rows, table, fail)
}

// rejectionOfCall does the same for any operation.
func rejectionOfCall(
	t *testing.T, operation batchserver.Operation, rows *rowemulator.Store, table string, fail func(context.Context) error,
) logLine {
	t.Helper()
	var lines bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&lines, &slog.HandlerOptions{Level: slog.LevelWarn}))
	store := failingReads{Store: rows, table: table, fail: fail}
	keeper := batchkeeper.New(store, batchkeeper.Owner{VM: "a", Boot: 1}, rowstore.MaxRowBytes, logger)
	codec := fixedCall{call: batchserver.Call{Operation: operation, Job: testJob, Item: testItem}}
	server := batchserver.New(codec, keeper, keeper, nil, nil, rationer.New(1<<20), counter.New(metrics.NewSet()), logger)
	server.Serve(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil),
		gateway.JobContext{Table: router.NewTable(router.Configuration{Version: 1})})
	var line logLine
	qt.Assert(t, json.Unmarshal(lines.Bytes(), &line), qt.IsNil, qt.Commentf("%s", lines.String()))
	qt.Check(t, line.Message, qt.Equals, "job call rejected")
	qt.Check(t, line.Job, qt.Equals, testJob)
	qt.Check(t, line.Part, qt.Equals, batchkeeper.PartOf(testJob))
	return line
}

// acceptJob returns a store with an accepted job.
func acceptJob(t *testing.T) *rowemulator.Store {
	t.Helper()
	rows := rowemulator.New()
	keeper := batchkeeper.New(rows, batchkeeper.Owner{VM: "b", Boot: 1}, rowstore.MaxRowBytes, slog.New(slog.DiscardHandler))
	_, _, err := keeper.Submit(t.Context(), batchkeeper.Submission{
		ID: testJob, Route: "r", Host: "h", Retention: time.Minute, Items: []batchkeeper.Item{{ID: testItem, URI: "/x"}},
	})
	qt.Assert(t, err, qt.IsNil)
	return rows
}

// rejectRead fails a read as a store does that rejects it.
func rejectRead(context.Context) error { return fmt.Errorf("%w: status 503", rowstore.ErrNotDone) }

// leaveUnanswered fails a read as a store does that doesn't answer.
func leaveUnanswered(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", rowstore.ErrInDoubt, ctx.Err())
}

// answerSlowly fails a read as a store does whose response takes too long.
func answerSlowly(ctx context.Context) error {
	<-ctx.Done()
	return rowstore.NewIncomplete(arrivedBytes, ctx.Err())
}

// Guards against: the log doesn't tell which read of a job failed, and whether the job is missing, the store
// rejects calls, doesn't answer or sends its response over a slow link.
func TestRejectionTellsWhatAReadOfAJobMet(t *testing.T) {
	inBubble := func(name string, test func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
	}
	inBubble("missing", func(t *testing.T) {
		line := rejectionOf(t, rowemulator.New(), "", nil)
		qt.Check(t, line.Status, qt.Equals, http.StatusNotFound)
		qt.Check(t, line.Outcome, qt.Equals, "")
	})
	inBubble("rejected", func(t *testing.T) {
		line := rejectionOf(t, acceptJob(t), tableRecords, rejectRead)
		qt.Check(t, line.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, line.Table, qt.Equals, tableRecords)
		qt.Check(t, line.Outcome, qt.Equals, "notDone")
		qt.Check(t, line.Attempts > 1, qt.IsTrue)
		qt.Check(t, line.LastTook < time.Millisecond, qt.IsTrue, qt.Commentf("%s", line.LastTook))
	})
	inBubble("unanswered", func(t *testing.T) {
		line := rejectionOf(t, acceptJob(t), tableOfContent, leaveUnanswered)
		qt.Check(t, line.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, line.Table, qt.Equals, tableOfContent)
		qt.Check(t, line.Outcome, qt.Equals, "unanswered")
		qt.Check(t, line.Attempts, qt.Equals, 1)
		qt.Check(t, line.LastTook >= time.Second, qt.IsTrue, qt.Commentf("%s", line.LastTook))
		qt.Check(t, line.Bytes, qt.Equals, 0)
	})
	inBubble("slow", func(t *testing.T) {
		line := rejectionOf(t, acceptJob(t), tableOfContent, answerSlowly)
		qt.Check(t, line.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, line.Table, qt.Equals, tableOfContent)
		qt.Check(t, line.Outcome, qt.Equals, "incomplete")
		qt.Check(t, line.Bytes, qt.Equals, arrivedBytes)
	})
	inBubble("cancellation", func(t *testing.T) {
		line := rejectionOfCall(t, batchserver.OperationCancel, acceptJob(t), tableRecords, answerSlowly)
		qt.Check(t, line.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, line.Table, qt.Equals, tableRecords)
		qt.Check(t, line.Outcome, qt.Equals, "incomplete")
		qt.Check(t, line.Bytes, qt.Equals, arrivedBytes)
	})
}
