// Package riskestimator estimates the probability that an upstream fails its next request, from
// the outcomes of earlier ones. It performs no I/O and has no clock.
//
// A single failure says little: any upstream fails now and then, and one that has ended is found
// by its first failures in a row. But an upstream that fails some of its requests and answers the others
// well looks healthy after each answer, so that a backoff which ends with an answer sends
// it the same share of the load as before. Here each outcome shifts the odds between two
// hypotheses instead:
//
//	sound   answers nearly all requests
//	faulty  fails a considerable share of them
//
// An upstream that is merely slow answers, and so stays sound.
package riskestimator

import (
	"math"
	"time"
)

const (
	// soundFailures and faultyFailures are the shares of requests that an upstream fails
	// under either hypothesis.
	soundFailures  = 0.03
	faultyFailures = 0.35
	// priorOdds is how likely an upstream is faulty, relative to sound, before anything is known.
	priorOdds = 0.01
	// maxOdds bounds the odds, so that an upstream that has recovered is soon used again.
	maxOdds = 5
	// memory is the time constant with which earlier outcomes lose their weight.
	memory = 3500 * time.Millisecond
)

// What one outcome adds to the logarithm of the odds.
var (
	failureWeight = math.Log(faultyFailures / soundFailures)
	answerWeight  = math.Log((1 - faultyFailures) / (1 - soundFailures))
	priorLogOdds  = math.Log(priorOdds)
	maxLogOdds    = math.Log(maxOdds)
	// negligible is the evidence below which an upstream counts as sound. It would otherwise
	// get no requests until the others have more, however long ago it failed.
	negligible = failureWeight / 2
)

// Estimate is what is known of one process of an upstream. The zero value is that of a process
// that has had no request.
type Estimate struct {
	evidence  float64 // added to the logarithm of the prior odds, as of updatedAt
	updatedAt time.Time
}

// RecordFailure records a failed request, of this VM or of another one.
func (e *Estimate) RecordFailure(now time.Time) { e.add(failureWeight, now) }

// RecordAnswers records a number of requests that were answered well. It may be an estimate.
func (e *Estimate) RecordAnswers(n float64, now time.Time) {
	if e.evidence > 0 {
		e.add(n*answerWeight, now)
	}
}

// add adds evidence. Answers outweigh earlier failures, but not later ones, as a process may
// become faulty at any time.
func (e *Estimate) add(weight float64, now time.Time) {
	e.evidence = min(max(e.current(now)+weight, 0), maxLogOdds-priorLogOdds)
	e.updatedAt = now
}

// current returns the evidence that has been gathered, less what is forgotten by now.
func (e *Estimate) current(now time.Time) float64 {
	age := max(now.Sub(e.updatedAt), 0)
	return e.evidence * math.Exp(-age.Seconds()/memory.Seconds())
}

// FailureProbability returns the probability that the upstream fails a request beyond what
// a sound one does. It is 0 if no recent failures are known.
func (e *Estimate) FailureProbability(now time.Time) float64 {
	if e.evidence == 0 {
		return 0
	}
	evidence := e.current(now)
	if evidence < negligible {
		return 0
	}
	odds := math.Exp(priorLogOdds + evidence)
	return (faultyFailures - soundFailures) * odds / (1 + odds)
}

// IsFaulty returns whether the upstream is more likely faulty than sound.
func (e *Estimate) IsFaulty(now time.Time) bool {
	return priorLogOdds+e.current(now) > 0
}
