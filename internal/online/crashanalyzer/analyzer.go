// Package crashanalyzer finds out which requests crash the upstreams that begin to answer
// them, although no two of them are alike.
//
// An upstream that crashes takes down all requests on it. The suspects are those that it
// had not begun to answer. What they have in common with the suspects of other crashes
// are their traits, such as a part of a prompt. A trait that an upstream has answered
// since is not the cause.
//
// Example: three upstreams crash under requests with the parts A B X, A B X and A B X, and
// meanwhile others with A C, A D and A E are answered. A is answered all the time, so B or
// X is the cause. A request with B and X is rejected. One with B alone is sent:
// nothing shows that B is enough, and its answer or crash tells B and X apart. To reject
// whatever three crashes have in common would reject sound requests with B for good.
package crashanalyzer

import (
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the number of upstreams that must crash before requests are rejected.
	minCrashes = 3
	// keepTime is how long a suspect counts.
	keepTime = 10 * time.Minute
	// sameCrashTime is the difference up to which two reports of a crash of the same
	// upstream mean the same crash.
	sameCrashTime = 300 * time.Millisecond
	// maxSuspects and maxTraits bound memory use.
	maxSuspects = 512
	maxTraits   = 32
)

// suspect is a request that an upstream had not begun to answer when it crashed.
type suspect struct {
	id       uint64
	upstream string
	at       time.Time // when the upstream crashed
	crash    int       // identifies the crash on this VM
	news     bool      // whether this VM must tell its peers
	traits   []Trait   // as TraitsOf returns them
}

// parts returns the traits of the parts of the request's prompt.
func (s *suspect) parts() []Trait { return s.traits[:len(s.traits)-1] }

// request returns the trait of the whole request.
func (s *suspect) request() Trait { return s.traits[len(s.traits)-1] }

// Analyzer holds the suspects that this VM and its peers have seen. It is safe for
// concurrent use.
type Analyzer struct {
	mu       sync.Mutex
	suspects []suspect // in the order in which this VM learned of them
	answers  answerTimes
	crashes  int // number of crashes so far
	onNews   func()
	// newsUntil is the end of the time in which there is something that peers must learn
	// soon: suspects that are news, or corrections.
	newsUntil time.Time
	// corrections are traits to report as answered, each until a time.
	corrections map[Trait]time.Time

	self   string              // name of this VM
	vms    []string            // names of all live VMs
	probes map[Trait]time.Time // when a request was last sent as a probe, by a possible cause

	causes      map[Trait]int // result of the last call of findCauses
	causesUntil time.Time     // when it must be called again; zero if something has changed
}

// Option configures an Analyzer.
type Option func(*Analyzer)

// WithOnNews sets a function that is called when there is something that peers must learn
// soon. It must not block, and not call the Analyzer.
func WithOnNews(onNews func()) Option {
	return func(a *Analyzer) { a.onNews = onNews }
}

// New returns an Analyzer without suspects.
func New(options ...Option) *Analyzer {
	a := &Analyzer{
		answers: newAnswerTimes(), corrections: map[Trait]time.Time{},
		probes: map[Trait]time.Time{}, onNews: func() {},
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// RecordAnswer records that an upstream has begun to answer a request, without a crash.
func (a *Analyzer) RecordAnswer(traits []Trait, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range traits {
		a.recordAnswer(t, now)
	}
}

// recordAnswer records the answer of one trait. The caller must hold mu.
func (a *Analyzer) recordAnswer(t Trait, at time.Time) {
	if a.answers.record(t, at) && a.causes[t] > 0 {
		a.causesUntil = time.Time{}
	}
}

// Decision says whether a request may be sent to an upstream.
type Decision uint8

// Decisions of Decide.
const (
	// DecisionSend means that nothing is known against the request.
	DecisionSend Decision = iota
	// DecisionReject means that the request is as likely to crash an upstream as those
	// under which minCrashes have crashed.
	DecisionReject
	// DecisionProbe means the same, but that the request is to be sent once to find out.
	DecisionProbe
)

// Decide returns whether a request may be sent: not if it has all traits that may have caused
// minCrashes crashes.
func (a *Analyzer) Decide(traits []Trait, now time.Time) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.suspects) == 0 {
		return DecisionSend
	}
	causes := a.possibleCauses(now)
	isLikely := func(t Trait) bool { return causes[t] >= minCrashes }
	if !slices.ContainsFunc(traits, isLikely) {
		return DecisionSend
	}
	crashes, lastCrash := a.explainedCrashes(causes, traits)
	switch {
	case crashes < minCrashes:
		return DecisionSend
	case a.takeProbe(leastCause(traits, causes), crashes, lastCrash, now):
		return DecisionProbe
	default:
		return DecisionReject
	}
}
