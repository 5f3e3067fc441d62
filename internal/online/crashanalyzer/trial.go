package crashanalyzer

import (
	"slices"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

const (
	// trialPause is how long after the last of minCrashes crashes one request is let
	// through on trial, as upstreams may have crashed for another reason. It doubles with
	// each further crash.
	trialPause = 10 * time.Second
	// trialStagger is the time between the first trials of two VMs: usually the first one
	// settles the matter for all.
	trialStagger = time.Second
)

// SetVMs sets the names of this VM and of all live VMs, which take turns at trials.
func (a *Analyzer) SetVMs(self string, vms []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self, a.vms = self, vms
}

// takeTrial reports whether a request that is to be rejected is let through on trial. It
// has possible causes of the given number of crashes, the last of which was at lastCrash.
// The caller must hold mu.
func (a *Analyzer) takeTrial(causes set[Trait], crashes int, lastCrash, now time.Time) bool {
	cause := smallest(causes)
	pause := sleeper.Backoff{Initial: trialPause, Max: keepTime}.Delay(crashes - minCrashes)
	due := lastCrash.Add(pause + trialStagger*time.Duration(a.rank(cause)))
	if now.Before(due) || now.Before(a.trials[cause].Add(pause)) {
		return false
	}
	a.trials[cause] = now
	return true
}

// rank returns how many VMs come before this one at trials of a trait.
func (a *Analyzer) rank(t Trait) int {
	return max(slices.Index(weigher.Order(strconv.FormatUint(uint64(t), 16), a.vms), a.self), 0)
}

func smallest(traits set[Trait]) Trait {
	var least Trait
	first := true
	for t := range traits {
		if first || t < least {
			least, first = t, false
		}
	}
	return least
}
