// Package quarantiner finds requests that crash the upstreams that run them.
//
// Every request that ran on an upstream when it crashed is a suspect, as only
// one of them is to blame. A suspect is tried again where no other suspect
// runs, so that the next crash tells who it was. A request whose strikes reach
// the limit is refused; one that completes is cleared.
package quarantiner

import (
	"slices"
	"sync"
	"time"
)

// Fingerprint identifies a request by its caller and content.
type Fingerprint uint64

const (
	// MaxStrikes is the number of crashes after which a request is refused.
	MaxStrikes = 3
	// strikeMemory is how long a strike is remembered.
	strikeMemory = 10 * time.Minute
	// maxRecords bounds the memory; the oldest record goes first.
	maxRecords = 10_000
)

// Strike is what other VMs are told of a suspect.
type Strike struct {
	Fingerprint Fingerprint
	Count       int
}

type record struct {
	strikes int
	until   time.Time
}

type running struct {
	fingerprint Fingerprint
	suspect     bool
}

// Quarantine keeps the suspects that this VM knows.
type Quarantine struct {
	mu      sync.Mutex
	records map[Fingerprint]record
	runs    map[string][]running
}

// New returns a quarantine without suspects.
func New() *Quarantine {
	return &Quarantine{
		records: map[Fingerprint]record{}, runs: map[string][]running{},
	}
}

// Condemned tells whether the request must be refused.
func (q *Quarantine) Condemned(f Fingerprint, now time.Time) bool {
	return q.Strikes(f, now) >= MaxStrikes
}

// Strikes returns the strikes against a request.
func (q *Quarantine) Strikes(f Fingerprint, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.strikes(f, now)
}

func (q *Quarantine) strikes(f Fingerprint, now time.Time) int {
	r, found := q.records[f]
	if !found || now.After(r.until) {
		return 0
	}
	return r.strikes
}

// Begin notes that a request is about to run on an upstream. It returns false
// if the request is a suspect and another suspect runs there.
func (q *Quarantine) Begin(f Fingerprint, upstream string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	suspect := q.strikes(f, now) > 0
	if suspect && slices.ContainsFunc(q.runs[upstream], func(r running) bool { return r.suspect }) {
		return false
	}
	q.runs[upstream] = append(q.runs[upstream], running{fingerprint: f, suspect: suspect})
	return true
}

// End notes that a run is over. A request that completed is cleared.
func (q *Quarantine) End(f Fingerprint, upstream string, completed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	runs := q.runs[upstream]
	at := slices.IndexFunc(runs, func(r running) bool { return r.fingerprint == f })
	if at >= 0 {
		runs = slices.Delete(runs, at, at+1)
	}
	if len(runs) == 0 {
		delete(q.runs, upstream)
	} else {
		q.runs[upstream] = runs
	}
	if completed {
		delete(q.records, f)
	}
}

// Crash strikes the request, which was running on an upstream that crashed. A
// request gets its second and later strikes only where it was the only
// suspect, so that innocent requests beside a suspect are not condemned.
func (q *Quarantine) Crash(f Fingerprint, upstream string, now time.Time) Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	strikes := q.strikes(f, now)
	alone := q.onlySuspect(f, upstream)
	if strikes == 0 || alone {
		strikes++
	}
	q.keep(f, strikes, now)
	return Strike{Fingerprint: f, Count: strikes}
}

func (q *Quarantine) onlySuspect(f Fingerprint, upstream string) bool {
	own := false
	for _, r := range q.runs[upstream] {
		if r.suspect && r.fingerprint != f {
			return false
		}
		own = own || (r.suspect && r.fingerprint == f)
	}
	return own
}

// Learn takes a strike that another VM told of.
func (q *Quarantine) Learn(s Strike, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.Count > q.strikes(s.Fingerprint, now) {
		q.keep(s.Fingerprint, s.Count, now)
	}
}

func (q *Quarantine) keep(f Fingerprint, strikes int, now time.Time) {
	if len(q.records) >= maxRecords {
		q.dropOldest()
	}
	q.records[f] = record{strikes: strikes, until: now.Add(strikeMemory)}
}

func (q *Quarantine) dropOldest() {
	var oldest Fingerprint
	var until time.Time
	for f, r := range q.records {
		if until.IsZero() || r.until.Before(until) {
			oldest, until = f, r.until
		}
	}
	delete(q.records, oldest)
}

// Len returns the number of suspects.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records)
}
