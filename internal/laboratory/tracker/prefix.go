package tracker

import "sync"

const (
	// trackedPrefixes is the number of recent prefixes that are remembered.
	trackedPrefixes = 1024
	// reuseWeight is the weight of a new request in the share of reuse.
	reuseWeight = 0.04
	// startReuse is the share that is assumed before anything is known.
	startReuse = 0.3
	// sharedReuse is the share of reuse from which every prefix is taken for a
	// shared one, also at first sight.
	sharedReuse = 0.1
)

// Prefixes tells whether prompts share their beginnings. Sending a prompt
// where its prefix is cached is worth something only if others share it.
type Prefixes struct {
	mu     sync.Mutex
	recent [trackedPrefixes]uint64
	next   int
	counts map[uint64]int
	reuse  float64
}

// NewPrefixes returns a tracker that takes some sharing for granted at first.
func NewPrefixes() *Prefixes {
	return &Prefixes{counts: map[uint64]int{}, reuse: startReuse}
}

// Shared returns the prefix if it is likely to be shared, and 0 otherwise.
func (t *Prefixes) Shared(prefix uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := t.counts[prefix] > 0
	reused := 0.0
	if seen {
		reused = 1
	}
	t.reuse += reuseWeight * (reused - t.reuse)
	t.remember(prefix)
	if seen || t.reuse >= sharedReuse {
		return prefix
	}
	return 0
}

func (t *Prefixes) remember(prefix uint64) {
	oldest := t.recent[t.next]
	if t.counts[oldest] > 1 {
		t.counts[oldest]--
	} else {
		delete(t.counts, oldest)
	}
	t.recent[t.next] = prefix
	t.next = (t.next + 1) % trackedPrefixes
	t.counts[prefix]++
}
