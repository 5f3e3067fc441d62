package experimenter

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
)

// latencies collects the times to first tokens of each policy.
type latencies struct {
	mu     sync.Mutex
	series map[string][]time.Duration
}

func newLatencies() *latencies { return &latencies{series: map[string][]time.Duration{}} }

// add takes one time of a policy.
func (l *latencies) add(policy string, first time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.series[policy] = append(l.series[policy], first)
}

// draw writes the distribution of each policy: the share of requests that took
// longer than a time, on logarithmic axes, so that the tail can be seen.
func (l *latencies) draw(dir, name string) error {
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

// tailCurve returns the share of requests that took longer than each of some
// times.
func tailCurve(times []time.Duration) plotter.XYs {
	slices.Sort(times)
	points := make(plotter.XYs, 0, curvePoints)
	step := max(len(times)/curvePoints, 1)
	for at := range times {
		if at%step != 0 && at < len(times)-step {
			continue // every point near the end, where the tail is
		}
		longer := float64(len(times)-at) / float64(len(times))
		points = append(points, plotter.XY{X: max(times[at].Seconds()*millisPerSec, 1), Y: longer})
	}
	return points
}

// course is a number over time.
type course struct {
	points plotter.XYs
}

func (c *course) add(at time.Duration, value float64) {
	c.points = append(c.points, plotter.XY{X: at.Seconds(), Y: value})
}

// drawCourses writes several numbers over time.
func drawCourses(dir, name, label string, courses map[string]*course) error {
	if dir == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = label
	p.Legend.Top = true
	names := make([]string, 0, len(courses))
	for key := range courses {
		names = append(names, key)
	}
	slices.Sort(names)
	for n, key := range names {
		line, err := plotter.NewLine(courses[key].points)
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
