// Package chunkfinder finds claimable chunks for the VMs of one failure domain.
// One VM of the domain scans the store for the chunks of a model and offers them
// to the others, so that the number of reads doesn't grow with the number of VMs
// that have free capacity. Finder does no I/O and reads no clock: it returns the
// scans to run, and receives their results and the time.
package chunkfinder

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

const (
	// scanPeriod is the minimum time between two scans for a model.
	scanPeriod = 300 * time.Millisecond
	// reofferDelay is the time after an offer before the chunk is offered again.
	reofferDelay = 3 * time.Second
	// leaseTimeout is the default time that an owner's lease may stay unchanged
	// before its chunks are offered to other owners. It is measured with the clock
	// of this VM.
	leaseTimeout = 10 * time.Second
)

// Candidate is an unfinished chunk as a scan has read it.
type Candidate struct {
	Job   jobkeeper.JobRow
	Ref   jobkeeper.ChunkRef
	Owner jobkeeper.Owner
	// Lease is the version of the owner's lease row, or 0 if it has none.
	Lease uint64
}

// Scan is a request to read a model's candidates. Cursors has the number of the
// first chunk of each job that isn't known to be done.
type Scan struct {
	Model   string
	Cursors map[string]int
}

// Offer is a set of chunks that a VM may claim. An empty offer means
// that a scan found none for the VM.
type Offer struct {
	VM     string
	Model  string
	Chunks []Chunk
}

// Chunk identifies a claimable chunk and the owner that the claim replaces.
type Chunk struct {
	Ref      jobkeeper.ChunkRef
	Previous jobkeeper.Owner
}

// ScanResult is the result of a scan. The other fields are incomplete if Err is
// set.
type ScanResult struct {
	Model      string
	Candidates []Candidate
	Cursors    map[string]int
	Err        error
}

// lease is the last known version of an owner's lease row, and when this VM first
// saw it.
type lease struct {
	version        uint64
	unchangedSince time.Time
}

// request is a VM's pending request for up to limit chunks.
type request struct {
	vm          string
	limit       int
	orphansOnly bool
}

// search is the state of the search for one model's chunks. The candidates are
// those of the last scan that haven't been offered since.
type search struct {
	candidates []Candidate
	requests   []request
	scanning   bool
	nextScanAt time.Time
}

// Finder serves requests for chunks from the candidates that scans have found. It
// is not safe for concurrent use.
type Finder struct {
	leaseTimeout time.Duration
	ownerGone    func(jobkeeper.Owner, jobkeeper.ChunkRef) bool
	searches     map[string]*search
	cursors      map[string]int
	leases       map[jobkeeper.Owner]lease
	reofferAt    map[jobkeeper.ChunkRef]time.Time // when an offered chunk may be offered again
}

// New returns a Finder. The function reports whether the owner of a chunk is known
// to have lost it or to have ended, even if its lease hasn't expired.
func New(ownerGone func(jobkeeper.Owner, jobkeeper.ChunkRef) bool) *Finder {
	return &Finder{
		leaseTimeout: leaseTimeout, ownerGone: ownerGone, searches: map[string]*search{}, cursors: map[string]int{},
		leases: map[jobkeeper.Owner]lease{}, reofferAt: map[jobkeeper.ChunkRef]time.Time{},
	}
}

// SetLeaseTimeout sets how long an owner's lease may stay unchanged before it
// counts as expired. Larger fleets need a longer timeout, since they renew their
// leases less often.
func (f *Finder) SetLeaseTimeout(timeout time.Duration) { f.leaseTimeout = timeout }

// search returns the search for a model, which it creates if necessary.
func (f *Finder) search(model string) *search {
	s, found := f.searches[model]
	if !found {
		s = &search{}
		f.searches[model] = s
	}
	return s
}

// RequestChunks handles a VM's request for up to limit chunks. It replaces an
// earlier request of the same VM for the same model. If orphansOnly is set, the VM
// gets only chunks whose owner is gone.
func (f *Finder) RequestChunks(vm, model string, limit int, orphansOnly bool, now time.Time) ([]Offer, []Scan) {
	s := f.search(model)
	s.requests = slices.DeleteFunc(s.requests, func(r request) bool { return r.vm == vm })
	s.requests = append(s.requests, request{vm: vm, limit: limit, orphansOnly: orphansOnly})
	return f.serveRequests(model, now)
}

// Tick serves the pending requests and discards expired records of offers. It is
// called periodically.
func (f *Finder) Tick(now time.Time) ([]Offer, []Scan) {
	var offers []Offer
	var scans []Scan
	for _, model := range f.models() {
		o, s := f.serveRequests(model, now)
		offers = append(offers, o...)
		scans = append(scans, s...)
	}
	for ref, until := range f.reofferAt {
		if now.After(until) {
			delete(f.reofferAt, ref)
		}
	}
	return offers, scans
}

// models returns the models that were requested so far, in a fixed order.
func (f *Finder) models() []string {
	models := make([]string, 0, len(f.searches))
	for model := range f.searches {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// serveRequests offers the known candidates to the VMs that requested chunks, and
// returns a scan if some requests remain unserved.
func (f *Finder) serveRequests(model string, now time.Time) ([]Offer, []Scan) {
	s := f.search(model)
	var offers []Offer
	var unserved []request
	for _, r := range s.requests {
		chunks := f.takeChunks(s, r, now)
		if len(chunks) == 0 {
			unserved = append(unserved, r)
			continue
		}
		offers = append(offers, Offer{VM: r.vm, Model: model, Chunks: chunks})
	}
	s.requests = unserved
	if len(s.requests) == 0 || s.scanning || now.Before(s.nextScanAt) {
		return offers, nil
	}
	s.scanning = true
	s.nextScanAt = now.Add(scanPeriod)
	cursors := make(map[string]int, len(f.cursors))
	for job, cursor := range f.cursors {
		cursors[job] = cursor
	}
	return offers, []Scan{{Model: model, Cursors: cursors}}
}

// takeChunks removes the chunks for a request from the candidates, together with all
// candidates that were offered recently.
func (f *Finder) takeChunks(s *search, r request, now time.Time) []Chunk {
	var out []Chunk
	var remaining []Candidate
	for _, c := range s.candidates {
		if until, found := f.reofferAt[c.Ref]; found && now.Before(until) {
			continue
		}
		if len(out) >= r.limit || (r.orphansOnly && c.Owner == (jobkeeper.Owner{})) {
			remaining = append(remaining, c)
			continue
		}
		f.reofferAt[c.Ref] = now.Add(reofferDelay)
		out = append(out, Chunk{Ref: c.Ref, Previous: c.Owner})
	}
	s.candidates = remaining
	return out
}

// Scanned handles the result of a scan. After an error, the requests stay pending.
func (f *Finder) Scanned(result ScanResult, now time.Time) ([]Offer, []Scan) {
	s := f.search(result.Model)
	s.scanning = false
	if result.Err != nil {
		return nil, nil
	}
	for job, cursor := range result.Cursors {
		f.cursors[job] = cursor
	}
	var claimable []Candidate
	for _, c := range result.Candidates {
		if f.claimable(c, now) {
			claimable = append(claimable, c)
		}
	}
	s.candidates = interleave(claimable)
	offers, _ := f.serveRequests(result.Model, now)
	for _, r := range s.requests {
		// An empty offer keeps the VM from scanning the store itself.
		offers = append(offers, Offer{VM: r.vm, Model: result.Model})
	}
	s.requests = nil
	return offers, nil
}

// claimable reports whether a chunk has no owner, or one that is gone or whose
// lease has expired. It records the version of the lease.
func (f *Finder) claimable(c Candidate, now time.Time) bool {
	if c.Owner == (jobkeeper.Owner{}) || f.ownerGone(c.Owner, c.Ref) {
		return true
	}
	seen, found := f.leases[c.Owner]
	if !found || seen.version != c.Lease {
		f.leases[c.Owner] = lease{version: c.Lease, unchangedSince: now}
		return false
	}
	return now.Sub(seen.unchangedSince) >= f.leaseTimeout
}

// interleave sorts candidates so that the chunks of different jobs alternate,
// starting with the job that has the earliest deadline.
func interleave(candidates []Candidate) []Candidate {
	type position struct{ round int }
	rounds := map[string]int{}
	positions := make(map[jobkeeper.ChunkRef]position, len(candidates))
	for _, c := range candidates {
		positions[c.Ref] = position{round: rounds[c.Ref.Job]}
		rounds[c.Ref.Job]++
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(positions[a.Ref].round, positions[b.Ref].round),
			a.Job.Deadline.Compare(b.Job.Deadline), cmp.Compare(a.Ref.Job, b.Ref.Job))
	})
	return candidates
}
