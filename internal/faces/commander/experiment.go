package commander

import (
	"fmt"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/experimenter"
)

type experimentCommand struct {
	List experimentListCommand `cmd:"" help:"List the experiments."`
	Run  experimentRunCommand  `cmd:"" help:"Run an experiment."`
}

type experimentListCommand struct{}

// Run lists the experiments.
func (c *experimentListCommand) Run(e *environment) error {
	for _, experiment := range experimenter.All() {
		e.print("%-22s %s\n", experiment.Name, experiment.Summary)
	}
	return nil
}

type experimentRunCommand struct {
	Name  string        `arg:"" help:"The experiment."`
	Seed  uint64        `default:"1" help:"The seed."`
	Quick bool          `help:"Run for a shorter time."`
	JSON  bool          `help:"Print JSON."`
	Over  time.Duration `placeholder:"TIME" help:"Explain requests whose first token took longer."`
	Plot  string        `type:"path" placeholder:"DIR" help:"Draw pictures into a folder."`
}

// Run runs an experiment and prints its result.
func (c *experimentRunCommand) Run(e *environment) error {
	experiment, found := experimenter.Find(c.Name)
	if !found {
		return fmt.Errorf("no experiment %q; see experiment list", c.Name)
	}
	parameters := experimenter.Parameters{Seed: c.Seed, Quick: c.Quick, PlotDir: c.Plot}
	if c.Over > 0 {
		parameters.Explain, parameters.ExplainOver = e.stderr, c.Over
	}
	result, err := experiment.Run(e.ctx, parameters)
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(result)
	}
	printResult(e, result)
	return nil
}

// printResult prints the metrics of each policy, and whether each acceptance criterion was met.
func printResult(e *environment, r experimenter.Result) {
	e.print("%s, seed %d, %d VMs, %d upstreams\n", r.Experiment, r.Seed, r.VMs, r.Upstreams)
	for _, name := range sortedKeys(r.Policies) {
		e.print("  %s\n", name)
		for _, metric := range sortedKeys(r.Policies[name]) {
			e.print("    %-40s %12.3f\n", metric, r.Policies[name][metric])
		}
	}
	for _, criterion := range r.Criteria {
		outcome := "missed"
		if criterion.Met {
			outcome = "reached"
		}
		e.print("  %s: %s, got %.3f: %s\n", criterion.Name, criterion.Want, criterion.Got, outcome)
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
