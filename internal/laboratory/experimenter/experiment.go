// Package experimenter measures the production policies against simple baselines
// in the same run, on sites of the users' sizes.
package experimenter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Metrics holds the measured values of one policy. Each name ends in its unit.
type Metrics map[string]float64

// Result is the outcome of one experiment.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	VMs        int                `json:"vms"`
	Upstreams  int                `json:"upstreams"`
	Policies   map[string]Metrics `json:"policies"`
	// Criteria holds each acceptance criterion and whether this run met it.
	Criteria []Criterion `json:"bars"`
}

// Parameters holds the options of one run.
type Parameters struct {
	Seed  uint64
	Quick bool
	// PlotDir is the directory that plots are written to; empty means no plots.
	PlotDir string
	// Explain receives the traces of requests whose first token took longer than
	// ExplainOver; nil means none.
	Explain     io.Writer
	ExplainOver time.Duration //nolint:revive // an option of a run, not stored
}

// Experiment is a named measurement.
type Experiment struct {
	Name    string
	Summary string
	run     func(context.Context, Parameters) (Result, error)
}

// Run runs the experiment.
func (e Experiment) Run(ctx context.Context, p Parameters) (Result, error) {
	result, err := e.run(ctx, p)
	result.Experiment, result.Seed = e.Name, p.Seed
	if err != nil {
		return result, fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	return result, nil
}

// All returns all experiments, sorted by name.
func All() []Experiment {
	all := []Experiment{
		batchBesideOnline, onlineBurst, shortBehindLong, slowedUpstreams, prefixCache, poison, overload, relayCost,
		vmLoss, storeOutage, configSpread, domainCut, controlCost, membership,
	}
	slices.SortFunc(all, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Find returns the experiment with a name.
func Find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
