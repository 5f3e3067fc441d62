package crashanalyzer

import (
	"slices"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

const (
	// probePause is how long after the last of minCrashes crashes one request is sent as a
	// probe, as upstreams may have crashed for another reason. It doubles with each further
	// crash.
	probePause = 10 * time.Second
	// probeStagger is the time between the first probes of two VMs: usually the first one
	// settles the matter for all.
	probeStagger = time.Second
)

// SetVMs sets the names of this VM and of all live VMs, which take turns at probes.
func (a *Analyzer) SetVMs(self string, vms []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self, a.vms = self, vms
}

// takeProbe reports whether a request that would be rejected is sent as a probe. It has
// possible causes of the given number of crashes, the last of which was at lastCrash. The
// caller must hold mu.
func (a *Analyzer) takeProbe(causes set[Trait], crashes int, lastCrash, now time.Time) bool {
	cause := smallest(causes)
	pause := sleeper.Backoff{Initial: probePause, Max: keepTime}.Delay(crashes - minCrashes)
	due := later(lastCrash, a.probes[cause]).Add(pause)
	if now.Before(due) || now.Before(lastCrash.Add(pause+probeStagger*time.Duration(a.rank(cause)))) {
		return false
	}
	a.probes[cause] = now
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// rank returns how many VMs come before this one at probes of a trait.
func (a *Analyzer) rank(t Trait) int {
	return max(slices.Index(weigher.Order(strconv.FormatUint(uint64(t), 16), a.vms), a.self), 0)
}

// smallest returns the trait by which a set of causes is known, on all VMs the same.
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
