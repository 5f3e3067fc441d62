// Package quarantiner finds requests that crash the upstreams that run them.
//
// Every request that ran on an upstream when it crashed is a suspect, as only
// one of them is to blame. A suspect is tried again where no other suspect
// runs, so that the next crash tells who it was. A request whose strikes reach
// the limit is refused; one that completes is cleared.
package quarantiner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Count       int
}

// FingerprintOf returns the fingerprint of a request by its content.
func FingerprintOf(host, path string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(host)
	_, _ = digest.WriteString(path)
	_, _ = digest.Write(body) // none of them can fail
	return Fingerprint(digest.Sum64())
}

type record struct {
	strikes int
	until   time.Time
}

// Quarantine keeps the suspects that this VM knows.
type Quarantine struct {
	mu      sync.Mutex
	records map[Fingerprint]record
}

// New returns a quarantine without suspects.
func New() *Quarantine {
	return &Quarantine{records: map[Fingerprint]record{}}
}

// Condemned tells whether the request must be refused.
func (q *Quarantine) ShouldReject(f Fingerprint, now time.Time) bool {
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

// Cleared forgets a suspect that completed.
func (q *Quarantine) Clear(f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.records, f)
}

// Crash strikes a request that was running on an upstream that crashed. Any
// request gets its first strike so. The further ones it gets only for runs in
// isolation, where no other suspect was to blame, so that innocent requests
// beside the one that crashes upstreams are not condemned.
func (q *Quarantine) RecordCrash(f Fingerprint, isolated bool, now time.Time) Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	strikes := q.strikes(f, now)
	if strikes == 0 || isolated {
		strikes++
	}
	q.keep(f, strikes, now)
	return Strike{Fingerprint: f, Count: strikes}
}

// MergeStrike takes a strike that another VM told of.
func (q *Quarantine) MergeStrike(s Strike, now time.Time) {
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

// Suspects returns up to a number of suspects, for other VMs.
func (q *Quarantine) Suspects(most int, now time.Time) []Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	var strikes []Strike
	for f := range q.records {
		if len(strikes) == most {
			break
		}
		if n := q.strikes(f, now); n > 0 {
			strikes = append(strikes, Strike{Fingerprint: f, Count: n})
		}
	}
	return strikes
}
