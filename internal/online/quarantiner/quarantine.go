// Package quarantiner identifies requests that crash the upstreams that run them.
//
// Every request that ran on an upstream when it crashed is a suspect, although only
// one of them is the cause. A suspect is tried again on an upstream where no other
// suspect runs, so that the next crash identifies the cause. A request whose strikes
// reach the limit is rejected; one that completes is cleared.
package quarantiner

import (
	"sync"
	"time"
)

// Fingerprint is a hash of what identifies a request, such as its body.
type Fingerprint uint64

const (
	// MaxStrikes is the number of strikes after which a request is rejected.
	MaxStrikes = 3
	// strikeTTL is how long a strike counts.
	strikeTTL = 10 * time.Minute
	// maxRecords bounds memory use; the oldest record is evicted first.
	maxRecords = 10_000
)

// Strike is the report of a suspect to peer VMs.
type Strike struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Count       int
}

type record struct {
	strikes int
	until   time.Time
}

// Quarantine holds the suspects known to this VM.
type Quarantine struct {
	mu      sync.Mutex
	records map[Fingerprint]record
}

// New returns a quarantine without suspects.
func New() *Quarantine {
	return &Quarantine{records: map[Fingerprint]record{}}
}

// ShouldReject reports whether the request has reached MaxStrikes.
func (q *Quarantine) ShouldReject(f Fingerprint, now time.Time) bool {
	return q.Strikes(f, now) >= MaxStrikes
}

// Strikes returns the number of strikes against a request.
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

// Clear removes a suspect that has completed.
func (q *Quarantine) Clear(f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.records, f)
}

// RecordCrash records that an upstream crashed while it ran the request. Any such
// request gets its first strike. Further strikes require a run in isolation, where no
// other suspect can be the cause, so that innocent requests that run beside the cause
// are not rejected.
func (q *Quarantine) RecordCrash(f Fingerprint, isolated bool, now time.Time) Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	strikes := q.strikes(f, now)
	if strikes == 0 || isolated {
		strikes++
	}
	q.store(f, strikes, now)
	return Strike{Fingerprint: f, Count: strikes}
}

// ReceiveStrike records the strikes of a suspect that a peer VM has reported, unless this
// VM already knows as many.
func (q *Quarantine) ReceiveStrike(s Strike, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.Count > q.strikes(s.Fingerprint, now) {
		q.store(s.Fingerprint, s.Count, now)
	}
}

func (q *Quarantine) store(f Fingerprint, strikes int, now time.Time) {
	if len(q.records) >= maxRecords {
		q.evictOldest()
	}
	q.records[f] = record{strikes: strikes, until: now.Add(strikeTTL)}
}

func (q *Quarantine) evictOldest() {
	var oldest Fingerprint
	var until time.Time
	for f, r := range q.records {
		if until.IsZero() || r.until.Before(until) {
			oldest, until = f, r.until
		}
	}
	delete(q.records, oldest)
}

// Len returns the number of recorded suspects, including expired ones.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records)
}
