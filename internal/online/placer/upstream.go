package placer

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
	"github.com/fescuespindle/fescuespindle/internal/online/riskestimator"
)

// Tier is the distance of an upstream from this VM.
type Tier uint8

// The tiers, nearest first.
const (
	// TierDomain upstreams are in the VM's failure domain, and in its subset if the domain
	// has subsets.
	TierDomain Tier = iota
	// TierOutsideSubset upstreams are in the VM's domain, but not in its subset.
	TierOutsideSubset
	TierRegion // in another domain of the VM's region
	TierRemote // in another region
	tierCount
)

// Upstream is an upstream as listed by the platform.
type Upstream struct {
	ID        string
	Service   string
	Address   string
	Domain    string
	Version   string // of its software
	Sequences int    // maximum number of concurrent requests
	// Draining upstreams accept no new work.
	Draining bool
	// ProcessStart identifies the upstream's process, in Unix milliseconds. A restarted
	// process keeps no state.
	ProcessStart int64
	// EntryVersion is the version of the store at which the platform's entry of the upstream was written.
	EntryVersion uint64
}

// Load is the load that an upstream reports with an answer.
type Load struct {
	Running   int
	Waiting   int
	Sequences int
	// Slowness is the factor by which requests take longer than usual; 0 if unknown.
	Slowness float64
}

const (
	// slownessTTL is how long a reported slowness is used.
	slownessTTL = 500 * time.Millisecond
	// unreportedTTL is how long requests that no VM has reported are counted.
	unreportedTTL = 300 * time.Millisecond
	// defaultSequences applies to an upstream that is listed without a number of
	// sequences.
	defaultSequences = 4
)

// upstream is the state of one upstream.
type upstream struct {
	Upstream
	tier       Tier
	localCount Count
	peerCount  Count

	receivedSummary receivedSummary

	limitHolders []string // VMs that share its rate limit; nil until computed

	unreported        int // requests that no VM reports, as of unreportedAt
	unreportedAt      time.Time
	slowness          float64
	slownessAt        time.Time
	failures          healthtracker.FailureTracker
	lastBreakAt       time.Time // of a connection of this VM, since its entry was written; zero if none
	risk              riskestimator.Estimate
	lastReporter      string    // the peer VM whose report of a failure was last counted in risk
	peersCountedAt    time.Time // when the requests of peer VMs were last counted as answers in risk
	announcedDraining bool      // announced by the upstream, maybe before the platform lists it

	hasJoined  bool          // since the last look at its capacity, while this VM knew others
	lastFullAt time.Time     // when capacity for batch work was last seen to be lacking
	batchDelay time.Duration // time after lastFullAt before this VM's batch work may start
	batchSlots []*Slot       // this VM's, oldest first
}

// load returns the number of requests known to be on the upstream.
func (u *upstream) load(now time.Time) int {
	load := u.localCount.Total() + u.peerCount.Total()
	if now.Sub(u.unreportedAt) < unreportedTTL {
		load += u.unreported
	}
	return max(load, u.summaryCount(now).Total())
}

// batchLoad returns the number of batch requests known to be on the upstream.
func (u *upstream) batchLoad(now time.Time) int {
	return max(u.localCount.Batch+u.peerCount.Batch, u.summaryCount(now).Batch)
}

// currentSlowness returns the factor by which the upstream is slower than usual; 1 if
// unknown.
func (u *upstream) currentSlowness(now time.Time) float64 {
	if u.slowness <= 1 || now.Sub(u.slownessAt) >= slownessTTL {
		return 1
	}
	return u.slowness
}
