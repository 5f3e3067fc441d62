// Package chunkfinder looks for chunks that may be run, for the VMs of one
// failure domain. It is a deterministic core. One VM of a domain looks for the
// work of a model and offers it to the others, so that the store is not read
// by every VM with room.
package chunkfinder

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

const (
	// scanPeriod is the least time between two scans for a model.
	scanPeriod = 300 * time.Millisecond
	// offerTime is how long a chunk that was offered is not offered again.
	offerTime = 3 * time.Second
	// leaseTimeout is how long an owner's lease may stay unchanged before its
	// chunks are offered to others. It is measured by this VM's own clock.
	leaseTimeout = 10 * time.Second
)

// Candidate is a chunk as a scan found it.
type Candidate struct {
	Job   jobkeeper.JobRow
	Ref   jobkeeper.ChunkRef
	Owner jobkeeper.Owner
	// Lease is the version of the owner's lease row; 0 means that it has none.
	Lease uint64
}

// Scan asks for a model's candidates. Chunks before a job's cursor are done.
type Scan struct {
	Model   string
	Cursors map[string]int
}

// Offer is a set of chunks for a VM.
type Offer struct {
	VM     string
	Model  string
	Chunks []Chunk
}

// Chunk is a chunk that may be claimed from its previous owner.
type Chunk struct {
	Ref      jobkeeper.ChunkRef
	Previous jobkeeper.Owner
}

// ScanResult is the outcome of a scan.
type ScanResult struct {
	Model      string
	Candidates []Candidate
	Cursors    map[string]int
	Err        error
}

type lease struct {
	version uint64
	since   time.Time
}

type request struct {
	vm      string
	most    int
	orphans bool
}

// search is the state of the search for one model's chunks.
type search struct {
	chunks   []Candidate
	requests []request
	scanning bool
	scanAt   time.Time
}

// Finder is the state of one VM.
type Finder struct {
	timeout  time.Duration
	dead     func(jobkeeper.Owner, jobkeeper.ChunkRef) bool
	searches map[string]*search
	cursors  map[string]int
	leases   map[jobkeeper.Owner]lease
	offered  map[jobkeeper.ChunkRef]time.Time
}

// New returns a finder. The function tells whether the process that owns a
// chunk is known to be gone, before its lease shows it.
func New(dead func(jobkeeper.Owner, jobkeeper.ChunkRef) bool) *Finder {
	return &Finder{
		timeout: leaseTimeout, dead: dead, searches: map[string]*search{}, cursors: map[string]int{},
		leases: map[jobkeeper.Owner]lease{}, offered: map[jobkeeper.ChunkRef]time.Time{},
	}
}

// SetLeaseTimeout sets how long an owner's lease may stay unchanged; a larger
// fleet renews its leases less often.
func (f *Finder) SetLeaseTimeout(timeout time.Duration) { f.timeout = timeout }

func (f *Finder) search(model string) *search {
	s, found := f.searches[model]
	if !found {
		s = &search{}
		f.searches[model] = s
	}
	return s
}

// RequestChunks takes a VM's request for chunks. A newer request of the same VM
// replaces an older one. A request for orphans gets only chunks whose owner is
// gone.
func (f *Finder) RequestChunks(vm, model string, most int, orphans bool, now time.Time) ([]Offer, []Scan) {
	s := f.search(model)
	s.requests = slices.DeleteFunc(s.requests, func(r request) bool { return r.vm == vm })
	s.requests = append(s.requests, request{vm: vm, most: most, orphans: orphans})
	return f.serve(model, now)
}

// Tick advances time.
func (f *Finder) Tick(now time.Time) ([]Offer, []Scan) {
	var offers []Offer
	var scans []Scan
	for _, model := range f.models() {
		o, s := f.serve(model, now)
		offers = append(offers, o...)
		scans = append(scans, s...)
	}
	for ref, until := range f.offered {
		if now.After(until) {
			delete(f.offered, ref)
		}
	}
	return offers, scans
}

func (f *Finder) models() []string {
	models := make([]string, 0, len(f.searches))
	for model := range f.searches {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// serve hands out the chunks that are known and asks for a scan if that was
// not enough.
func (f *Finder) serve(model string, now time.Time) ([]Offer, []Scan) {
	s := f.search(model)
	var offers []Offer
	var unserved []request
	for _, r := range s.requests {
		chunks := f.take(s, r, now)
		if len(chunks) == 0 {
			unserved = append(unserved, r)
			continue
		}
		offers = append(offers, Offer{VM: r.vm, Model: model, Chunks: chunks})
	}
	s.requests = unserved
	if len(s.requests) == 0 || s.scanning || now.Before(s.scanAt) {
		return offers, nil
	}
	s.scanning = true
	s.scanAt = now.Add(scanPeriod)
	cursors := make(map[string]int, len(f.cursors))
	for job, cursor := range f.cursors {
		cursors[job] = cursor
	}
	return offers, []Scan{{Model: model, Cursors: cursors}}
}

// take removes chunks for a request from those that are known.
func (f *Finder) take(s *search, r request, now time.Time) []Chunk {
	var out []Chunk
	var rest []Candidate
	for _, c := range s.chunks {
		if until, found := f.offered[c.Ref]; found && now.Before(until) {
			continue
		}
		if len(out) >= r.most || (r.orphans && c.Owner == (jobkeeper.Owner{})) {
			rest = append(rest, c)
			continue
		}
		f.offered[c.Ref] = now.Add(offerTime)
		out = append(out, Chunk{Ref: c.Ref, Previous: c.Owner})
	}
	s.chunks = rest
	return out
}

// Scanned takes the outcome of a scan.
func (f *Finder) Scanned(found ScanResult, now time.Time) ([]Offer, []Scan) {
	s := f.search(found.Model)
	s.scanning = false
	if found.Err != nil {
		return nil, nil
	}
	for job, cursor := range found.Cursors {
		f.cursors[job] = cursor
	}
	var free []Candidate
	for _, c := range found.Candidates {
		if f.claimable(c, now) {
			free = append(free, c)
		}
	}
	s.chunks = interleave(free)
	offers, _ := f.serve(found.Model, now)
	for _, r := range s.requests {
		// An empty offer tells that there is no work; the VM need not look itself.
		offers = append(offers, Offer{VM: r.vm, Model: found.Model})
	}
	s.requests = nil
	return offers, nil
}

// claimable tells whether a chunk has no owner, or one that is gone.
func (f *Finder) claimable(c Candidate, now time.Time) bool {
	if c.Owner == (jobkeeper.Owner{}) || f.dead(c.Owner, c.Ref) {
		return true
	}
	seen, found := f.leases[c.Owner]
	if !found || seen.version != c.Lease {
		f.leases[c.Owner] = lease{version: c.Lease, since: now}
		return false
	}
	return now.Sub(seen.since) >= f.timeout
}

// interleave orders candidates so that each job's chunks come in turn, the job
// with the earliest deadline first.
func interleave(candidates []Candidate) []Candidate {
	type place struct{ round int }
	rounds := map[string]int{}
	places := make(map[jobkeeper.ChunkRef]place, len(candidates))
	for _, c := range candidates {
		places[c.Ref] = place{round: rounds[c.Ref.Job]}
		rounds[c.Ref.Job]++
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(places[a.Ref].round, places[b.Ref].round),
			a.Job.Deadline.Compare(b.Job.Deadline), cmp.Compare(a.Ref.Job, b.Ref.Job))
	})
	return candidates
}
