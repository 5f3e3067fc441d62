// Package counter registers and updates the metrics of one VM by name.
package counter

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// prefix is prepended to the name of every metric.
const prefix = "fescuespindle_"

// Counters updates the metrics of one VM: counters, gauges and histograms.
type Counters struct {
	set *metrics.Set
}

// New returns Counters that registers its metrics in set.
func New(set *metrics.Set) *Counters { return &Counters{set: set} }

// Count adds one to the named counter. The name may have labels.
func (c *Counters) Count(name string) { c.Add(name, 1) }

// Add adds n to the named counter.
func (c *Counters) Add(name string, n int) {
	c.set.GetOrCreateCounter(prefix + name).Add(n)
}

// Get returns the value of the named counter.
func (c *Counters) Get(name string) uint64 {
	return c.set.GetOrCreateCounter(prefix + name).Get()
}

// Gauge registers a gauge whose value is read from a callback.
func (c *Counters) Gauge(name string, value func() float64) {
	c.set.GetOrCreateGauge(prefix+name, value)
}

// Set returns the set in which the metrics are registered.
func (c *Counters) Set() *metrics.Set { return c.set }

// Observe adds a duration, in seconds, to the named histogram.
func (c *Counters) Observe(name string, d time.Duration) {
	c.set.GetOrCreateHistogram(prefix + name).Update(d.Seconds())
}
