// Package callcounter counts the store calls of a VM, and the bytes of their responses, by table.
package callcounter

import (
	"fmt"
	"strings"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Names of the metrics.
const (
	metricCalls       = "store_calls_total"
	metricReadBytes   = "store_read_bytes_total"
	metricWastedBytes = "store_wasted_bytes_total"
)

// Metrics updates counters by name.
type Metrics interface {
	Add(name string, n int)
}

// Counter counts store calls. It is safe for concurrent use.
type Counter struct {
	metrics Metrics
}

// New returns a Counter that updates metrics.
func New(metrics Metrics) *Counter { return &Counter{metrics: metrics} }

// CallEnded counts a call and the bytes of its response. The bytes of a response that is
// incomplete are counted as wasted, too.
func (c *Counter) CallEnded(call rowstore.Call) {
	labels := fmt.Sprintf(`call="%s",table="%s"`, call.Kind, labelValue(call.Table))
	outcome := rowstore.OutcomeOf(call.Err)
	c.metrics.Add(fmt.Sprintf(`%s{%s,outcome="%s"}`, metricCalls, labels, outcome), 1)
	if call.ResponseBytes == 0 {
		return
	}
	c.metrics.Add(metricReadBytes+"{"+labels+"}", call.ResponseBytes)
	if outcome == rowstore.OutcomeIncomplete {
		c.metrics.Add(metricWastedBytes+"{"+labels+"}", call.ResponseBytes)
	}
}

// labelValue replaces the characters of a table's name that have a meaning in the syntax of metrics.
func labelValue(table string) string {
	return strings.Map(func(r rune) rune {
		if r == '"' || r == '\\' || r < ' ' {
			return '_'
		}
		return r
	}, table)
}
