// Package loadscheduler decides which of the jobs that this VM may run, and doesn't, are claimed and loaded next. It
// does no I/O and reads no clock.
//
// A VM that is left alone may take over the jobs of hundreds of lost ones, and reads their content over one link into
// one memory. If it loads all of them at once, the jobs share the link, and none of them is complete for long:
//
//	16 jobs of 2 MB at once over 30 Mbit/s: all of them can run after 8.5 s
//	16 jobs of 2 MB, one after another:     the first can run after 0.5 s, the last after 8.5 s
//
// So a few loads are in flight at a time, as many as keep the link busy. A job is claimed only when its load can begin.
// Until then it is an orphan to all VMs, and whichever of them has a free link and memory first takes it over.
package loadscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/comparer"
)

const (
	// windowBytes bounds the content that is in flight, unless one job alone is larger. It keeps a link of 30 Mbit/s
	// busy for a quarter of a second, so that other calls over the link wait no longer than that.
	windowBytes = 1 << 20
	// minLoadBytes is what the smallest load counts. It bounds the number of loads in flight, which are some store
	// calls each.
	minLoadBytes = 32 << 10
	// unknownBytes is what a job counts whose record doesn't name the size of its content, as an earlier release has
	// written it: the largest body that callers may usually submit.
	unknownBytes = 4 << 20
)

// Candidate is a job that this VM may run, and doesn't.
type Candidate struct {
	record  batchkeeper.VersionedRecord
	claimed bool
	from    batchkeeper.Owner
}

// NewCandidate returns a job that must be claimed before it is loaded.
func NewCandidate(record batchkeeper.VersionedRecord) Candidate {
	return Candidate{record: record, from: record.Owner}
}

// NewClaimed returns a job that this process has claimed from an owner by the version of its record.
func NewClaimed(record batchkeeper.VersionedRecord, from batchkeeper.Owner) Candidate {
	return Candidate{record: record, claimed: true, from: from}
}

// Record returns the record of the job as it was last read.
func (c Candidate) Record() batchkeeper.VersionedRecord { return c.record }

// Claimed returns whether this process has claimed the job by the version of its record.
func (c Candidate) Claimed() bool { return c.claimed }

// From returns the owner before the claim.
func (c Candidate) From() batchkeeper.Owner { return c.from }

// Bytes returns the expected size of the job's content.
func (c Candidate) Bytes() int64 {
	if c.record.ContentBytes > 0 {
		return c.record.ContentBytes
	}
	return unknownBytes
}

// linkBytes returns what the load of a job counts towards windowBytes.
func (c Candidate) linkBytes() int64 { return max(c.Bytes(), minLoadBytes) }

// Scheduler has the jobs that wait to be loaded, and those that are being claimed or loaded. It is not safe for
// concurrent use.
type Scheduler struct {
	waiting  map[string]Candidate // by ID
	loading  map[string]int64     // what each load counts towards windowBytes, by ID
	inFlight int64                // sum of loading
}

// New returns a Scheduler without jobs.
func New() *Scheduler {
	return &Scheduler{waiting: map[string]Candidate{}, loading: map[string]int64{}}
}

// Offer adds a job, or replaces what was offered of it before. It has no effect on a job that is being loaded.
func (s *Scheduler) Offer(c Candidate) {
	if !s.IsLoading(c.record.ID) {
		s.waiting[c.record.ID] = c
	}
}

// Withdraw removes a job that waits, if it does.
func (s *Scheduler) Withdraw(id string) { delete(s.waiting, id) }

// Waiting returns the number of jobs that wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// IsLoading returns whether a job is being claimed or loaded.
func (s *Scheduler) IsLoading(id string) bool {
	_, loading := s.loading[id]
	return loading
}

// Next starts the load of a job and returns it, or returns false if none can start at a time of the store's clock.
// reserve reserves memory for the content of a job. A job that gets none is passed over, but no job passes one that
// waits for the link, as small ones could then hold off a large one for ever.
func (s *Scheduler) Next(now time.Duration, reserve func(bytes int64) bool) (Candidate, bool) {
	for _, c := range s.inOrder(now) {
		if s.inFlight > 0 && s.inFlight+c.linkBytes() > windowBytes {
			break
		}
		if reserve(c.Bytes()) {
			delete(s.waiting, c.record.ID)
			s.loading[c.record.ID] = c.linkBytes()
			s.inFlight += c.linkBytes()
			return c, true
		}
	}
	return Candidate{}, false
}

// End ends the load of a job.
func (s *Scheduler) End(id string) {
	s.inFlight -= s.loading[id]
	delete(s.loading, id)
}

// inOrder returns the waiting jobs in the order in which they are loaded: the ones that are due first, and
// those that have expired last, as nobody is owed their results.
func (s *Scheduler) inOrder(now time.Duration) []Candidate {
	return slices.SortedFunc(maps.Values(s.waiting), func(a, b Candidate) int {
		return cmp.Or(
			comparer.Bool(now >= a.record.Expires, now >= b.record.Expires),
			cmp.Compare(a.record.Due, b.record.Due),
			cmp.Compare(a.record.ID, b.record.ID),
		)
	})
}
