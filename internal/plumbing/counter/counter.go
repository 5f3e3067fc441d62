// Package counter counts events by name, in the metrics of one VM.
package counter

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// prefix starts the name of every metric.
const prefix = "fescuespindle_"

// Counters are the counters of one VM.
type Counters struct {
	set *metrics.Set
}

// New returns counters in a set of metrics.
func New(set *metrics.Set) *Counters { return &Counters{set: set} }

// Count adds one to the counter with a name, which may have labels.
func (c *Counters) Count(name string) { c.Add(name, 1) }

// Add adds n to the counter with a name.
func (c *Counters) Add(name string, n int) {
	c.set.GetOrCreateCounter(prefix + name).Add(n)
}

// Get returns the value of a counter.
func (c *Counters) Get(name string) uint64 {
	return c.set.GetOrCreateCounter(prefix + name).Get()
}

// Gauge registers a function that is asked for a value.
func (c *Counters) Gauge(name string, value func() float64) {
	c.set.GetOrCreateGauge(prefix+name, value)
}

// Set returns the set of metrics.
func (c *Counters) Set() *metrics.Set { return c.set }

// Observe adds a duration to the histogram with a name.
func (c *Counters) Observe(name string, d time.Duration) {
	c.set.GetOrCreateHistogram(prefix + name).Update(d.Seconds())
}
