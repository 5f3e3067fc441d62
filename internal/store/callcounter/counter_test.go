package callcounter_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/callcounter"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// expectCount checks the value of a counter.
func expectCount(t *testing.T, counters *counter.Counters, name string, want uint64) {
	t.Helper()
	qt.Check(t, counters.Get(name), qt.Equals, want, qt.Commentf("%s", name))
}

// Guards against: no metric tells which reads fill a link to the store, and how much of them is wasted.
func TestBytesAreCountedByTable(t *testing.T) {
	counters := counter.New(metrics.NewSet())
	c := callcounter.New(counters)
	c.CallEnded(rowstore.Call{Kind: rowstore.CallRange, Table: "op", ResponseBytes: 1000})
	c.CallEnded(rowstore.Call{
		Kind: rowstore.CallRange, Table: "op", ResponseBytes: 300, Err: rowstore.NewIncomplete(300, context.DeadlineExceeded),
	})
	c.CallEnded(rowstore.Call{Kind: rowstore.CallChanges, Table: "jobs", ResponseBytes: 20})
	expectCount(t, counters, `store_calls_total{call="range",table="op",outcome="done"}`, 1)
	expectCount(t, counters, `store_calls_total{call="range",table="op",outcome="incomplete"}`, 1)
	expectCount(t, counters, `store_read_bytes_total{call="range",table="op"}`, 1300)
	expectCount(t, counters, `store_wasted_bytes_total{call="range",table="op"}`, 300)
	expectCount(t, counters, `store_read_bytes_total{call="changes",table="jobs"}`, 20)
	expectCount(t, counters, `store_wasted_bytes_total{call="changes",table="jobs"}`, 0)
}

// Guards against: a call that was rejected, one without an answer and one over a slow link look the same.
func TestOutcomesAreDistinguished(t *testing.T) {
	for outcome, err := range map[rowstore.Outcome]error{
		rowstore.OutcomeDone:        nil,
		rowstore.OutcomeConflict:    rowstore.NewConflict(nil),
		rowstore.OutcomeNotFound:    rowstore.ErrNotFound,
		rowstore.OutcomeHistoryGone: rowstore.ErrHistoryGone,
		rowstore.OutcomeRateLimited: fmt.Errorf("%w: %w", rowstore.ErrNotDone, rowstore.ErrRateLimited),
		rowstore.OutcomeNotDone:     fmt.Errorf("%w: status 503", rowstore.ErrNotDone),
		rowstore.OutcomeIncomplete:  rowstore.NewIncomplete(0, context.DeadlineExceeded),
		rowstore.OutcomeUnanswered:  fmt.Errorf("%w: %w", rowstore.ErrInDoubt, context.DeadlineExceeded),
		rowstore.OutcomeCanceled:    fmt.Errorf("%w: %w", rowstore.ErrInDoubt, context.Canceled),
		rowstore.OutcomeFailed:      fmt.Errorf("%w: status 500", rowstore.ErrInDoubt),
	} {
		t.Run(string(outcome), func(t *testing.T) {
			counters := counter.New(metrics.NewSet())
			callcounter.New(counters).CallEnded(rowstore.Call{Kind: rowstore.CallTransact, Table: "jobs", Err: err})
			expectCount(t, counters, fmt.Sprintf(`store_calls_total{call="transact",table="jobs",outcome="%s"}`, outcome), 1)
		})
	}
}

// Guards against: a name that isn't valid in a metric makes its registration panic.
func TestAnyTableNameIsAValidLabel(t *testing.T) {
	counters := counter.New(metrics.NewSet())
	c := callcounter.New(counters)
	for _, table := range []string{"", `a"b`, `a\`, "a\nb", "a}b"} {
		c.CallEnded(rowstore.Call{Kind: rowstore.CallRange, Table: table, ResponseBytes: 1})
	}
	expectCount(t, counters, `store_read_bytes_total{call="range",table="a_b"}`, 2)
}
