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

// takeProbe reports whether a request that would be rejected is sent as a probe. It explains
// the given number of crashes, the last of which was at lastCrash. The caller must hold mu.
func (a *Analyzer) takeProbe(cause Trait, crashes int, lastCrash, now time.Time) bool {
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

// leastCause returns the possible cause by which probes of a request are counted. It is the
// same on all VMs.
func leastCause(traits []Trait, causes map[Trait]int) Trait {
	least, found := Trait(0), false
	for _, t := range traits {
		if causes[t] > 0 && (!found || t < least) {
			least, found = t, true
		}
	}
	return least
}
