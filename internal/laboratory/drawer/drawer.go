// Package drawer plots the measurements of experiments as PNG files.
package drawer

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	pictureWidth  = 8 * vg.Inch
	pictureHeight = 5 * vg.Inch
	curvePoints   = 200
	millisPerSec  = 1000
)

// Latencies collects times to first token by policy. Add is safe for concurrent use.
type Latencies struct {
	mu     sync.Mutex
	series map[string][]time.Duration
}

// NewLatencies returns an empty collection.
func NewLatencies() *Latencies { return &Latencies{series: map[string][]time.Duration{}} }

// Add adds one time of a policy.
func (l *Latencies) Add(policy string, first time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.series[policy] = append(l.series[policy], first)
}

// Draw plots the complementary cumulative distribution of each policy on logarithmic
// axes, which show the tail. It does nothing if dir is empty or there are no times.
func (l *Latencies) Draw(dir, name string) error {
	if dir == "" || len(l.series) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "time to first token (ms)"
	p.Y.Label.Text = "share of requests that took longer"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	names := make([]string, 0, len(l.series))
	for policy := range l.series {
		names = append(names, policy)
	}
	slices.Sort(names)
	for n, policy := range names {
		line, err := plotter.NewLine(tailCurve(l.series[policy]))
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		line.Color = plotutil.Color(n)
		p.Add(line)
		p.Legend.Add(policy, line)
	}
	return save(p, dir, name+"-first-token.png")
}

// tailCurve returns points of a complementary cumulative distribution: times in
// milliseconds, and the share of requests that took at least as long.
func tailCurve(times []time.Duration) plotter.XYs {
	slices.Sort(times)
	points := make(plotter.XYs, 0, curvePoints)
	step := max(len(times)/curvePoints, 1)
	for at := range times {
		if at%step != 0 && at < len(times)-step {
			continue // keep every point at the end, where the tail is
		}
		longer := float64(len(times)-at) / float64(len(times))
		points = append(points, plotter.XY{X: max(times[at].Seconds()*millisPerSec, 1), Y: longer})
	}
	return points
}

// TimeSeries is a time series.
type TimeSeries struct {
	points plotter.XYs
}

// Add appends the value at a time.
func (c *TimeSeries) Add(at time.Duration, value float64) {
	c.points = append(c.points, plotter.XY{X: at.Seconds(), Y: value})
}

// DrawTimeSeries plots time series in one picture. It does nothing if dir is empty.
func DrawTimeSeries(dir, name, label string, series map[string]*TimeSeries) error {
	if dir == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = label
	p.Legend.Top = true
	names := make([]string, 0, len(series))
	for key := range series {
		names = append(names, key)
	}
	slices.Sort(names)
	for n, key := range names {
		line, err := plotter.NewLine(series[key].points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", key, err)
		}
		line.Color = plotutil.Color(n)
		p.Add(line)
		p.Legend.Add(key, line)
	}
	return save(p, dir, name+"-course.png")
}

func save(p *plot.Plot, dir, file string) error {
	const mode = 0o755
	if err := os.MkdirAll(dir, mode); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(pictureWidth, pictureHeight, filepath.Join(dir, file)); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
