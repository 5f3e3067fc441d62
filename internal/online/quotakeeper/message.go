package quotakeeper

import (
	"math"
	"time"
)

// Envelope is a message and the VM that it is for.
type Envelope struct {
	To      string
	Message Message
}

// Message is what one VM tells another one. Field names would make up most of it.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Reports  []Report
	Verdicts []Verdict
	Closures []Closure
	// Queries are teams of which the sender wants to know what the receiver knows, and States the answers.
	Queries []string
	States  []State
	// Asks is set if the receiver must answer, if only with an empty message.
	Asks bool
}

// Halves returns two messages that say the same together; false if no list of the message can be divided.
func (m Message) Halves() (first, second Message, ok bool) {
	first.Asks, second.Asks = m.Asks, m.Asks
	first.Reports, second.Reports = halves(m.Reports)
	first.Verdicts, second.Verdicts = halves(m.Verdicts)
	first.Closures, second.Closures = halves(m.Closures)
	first.Queries, second.Queries = halves(m.Queries)
	first.States, second.States = halves(m.States)
	longest := max(len(m.Reports), len(m.Verdicts), len(m.Closures), len(m.Queries), len(m.States))
	return first, second, longest > 1
}

func halves[T any](all []T) (first, second []T) { return all[:len(all)/2], all[len(all)/2:] }

// Report is what a VM tells the keeper of a team of the team's requests.
type Report struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Series identifies the sender's totals of the team: others begin when it restarts.
	Series uint64
	// Total is what the sender has admitted and given back so far.
	Total Total
	// Pending is how many of these requests no keeper has counted yet.
	Pending int64
	// Known is what a keeper has last said; nil if that is long ago.
	Known *Known
	// Sender is the VM that has admitted the requests, if that isn't the sender of the message.
	Sender string
}

// Known is what a keeper has said of a team, some time ago.
type Known struct {
	_       struct{} `cbor:",toarray"`
	Account uint64
	// Fullness is the part of the team's tokens that was left; it is negative if tokens were owed.
	Fullness float32
	Age      time.Duration
}

// Verdict is the keeper's answer to a report.
type Verdict struct {
	_      struct{} `cbor:",toarray"`
	Team   string
	Series uint64
	Total  Total // that is counted
	// Account identifies the state that the keeper has of the team; 0 if it has none, as it knows of no quota.
	// Tokens is what is left, Fullness its ratio to the most that can be left, and Wait the time for which
	// the team is closed; 0 if it is open.
	Account  uint64
	Tokens   float32
	Fullness float32
	Wait     time.Duration
}

// State is what a VM knows of a team as its keeper.
type State struct {
	_     struct{} `cbor:",toarray"`
	Team  string
	Known Known
}

// Closure tells a VM that a team is closed.
type Closure struct {
	_    struct{} `cbor:",toarray"`
	Team string
	Wait time.Duration
	// Relay is set if the receiver must tell the VMs of its domain.
	Relay bool
}

// Total counts the requests of a team that a VM has admitted, and those that it gave back as they
// were not sent to an upstream. Both only grow.
type Total struct {
	_        struct{} `cbor:",toarray"`
	Admitted uint64
	Returned uint64
}

// net returns how many requests have been admitted and not given back.
func (t Total) net() int64 { return int64(t.Admitted) - int64(t.Returned) }

// isNewer returns whether t is of a later moment than other, of the same series.
func (t Total) isNewer(other Total) bool {
	return t.Admitted > other.Admitted || t.Returned > other.Returned
}

// isFinite returns whether a received value can be calculated with.
func isFinite(value float32) bool {
	return !math.IsNaN(float64(value)) && !math.IsInf(float64(value), 0)
}
