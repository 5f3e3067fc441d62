package crashanalyzer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// newsTime is how long a VM reports what it has learned, and relayTime how much older
	// a suspect may be that another VM has reported first.
	newsTime  = time.Second
	relayTime = time.Second
	// maxReported and maxAnswersReported bound the suspects and the answers in one report.
	maxReported        = 12
	maxAnswersReported = 40
)

// Suspect is the report of a suspect to peer VMs.
type Suspect struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64   // drawn at random, as a suspect reaches a VM by several ways
	Upstream string
	Age      time.Duration // time since the crash
	Traits   []Trait       // as TraitsOf returns them
}

// Answer is the report of a trait that was answered.
type Answer struct {
	_     struct{} `cbor:",toarray"`
	Trait Trait
	Age   time.Duration // time since the last answer
}

// Report is what a VM tells its peers about crashes.
type Report struct {
	Suspects []Suspect `cbor:"suspects,omitempty"`
	// Answers are of traits of the suspects, and of suspects that peers have reported.
	Answers []Answer `cbor:"answers,omitempty"`
}

// IsEmpty returns whether there is nothing in the report.
func (r Report) IsEmpty() bool { return len(r.Suspects) == 0 && len(r.Answers) == 0 }

// RecordCrash records that an upstream crashed before it began to answer a request.
func (a *Analyzer) RecordCrash(upstream string, traits []Trait, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(suspect{id: rand.Uint64(), upstream: upstream, at: now, news: true, traits: traits}, now)
}

// Receive adds the report of a peer VM. If relay is set, the suspects that are new to this
// VM are reported to its own peers in turn.
func (a *Analyzer) Receive(r Report, relay bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, answer := range r.Answers {
		a.recordAnswer(answer.Trait, now.Add(-answer.Age))
	}
	a.correct(r, now)
	for _, s := range r.Suspects {
		if s.Age < keepTime && len(s.Traits) > 0 && len(s.Traits) <= maxTraits {
			a.add(suspect{id: s.ID, upstream: s.Upstream, at: now.Add(-s.Age), news: relay, traits: s.Traits}, now)
		}
	}
}

// correct schedules a report of the traits that this VM knows to be answered since a crash,
// and the sender of the given report doesn't. The caller must hold mu.
func (a *Analyzer) correct(r Report, now time.Time) {
	told := answerTimes{recent: map[Trait]time.Time{}}
	for _, answer := range r.Answers {
		told.record(answer.Trait, now.Add(-answer.Age))
	}
	for _, s := range r.Suspects {
		at := now.Add(-s.Age)
		for _, t := range s.Traits {
			if a.answers.last(t).After(at) && !told.last(t).After(at) {
				a.corrections[t] = now.Add(newsTime)
				a.extendNews(now)
			}
		}
	}
}

// add adds a suspect, unless it is known. The caller must hold mu.
func (a *Analyzer) add(s suspect, now time.Time) {
	if slices.ContainsFunc(a.suspects, func(known suspect) bool { return known.id == s.id }) {
		return
	}
	a.removeOld(now)
	if len(a.suspects) >= maxSuspects {
		a.evict(now)
	}
	s.crash = a.crashOf(s)
	a.suspects = append(a.suspects, s)
	a.causesUntil = time.Time{}
	if s.news {
		a.extendNews(now)
	}
}

// extendNews makes this VM report news for newsTime from now.
func (a *Analyzer) extendNews(now time.Time) {
	a.newsUntil = now.Add(newsTime)
	a.onNews()
}

// crashOf returns the crash by which a new suspect ended: one that is known, or a new one.
func (a *Analyzer) crashOf(s suspect) int {
	for i := range a.suspects {
		other := &a.suspects[i]
		if other.upstream == s.upstream && other.at.Sub(s.at).Abs() <= sameCrashTime {
			return other.crash
		}
	}
	a.crashes++
	return a.crashes
}

// removeOld removes the suspects that no longer count.
func (a *Analyzer) removeOld(now time.Time) {
	maps.DeleteFunc(a.probes, func(_ Trait, at time.Time) bool { return now.Sub(at) > keepTime })
	a.suspects = slices.DeleteFunc(a.suspects, func(s suspect) bool { return now.Sub(s.at) > keepTime })
}

// evict removes one suspect: the first one for which nothing is rejected, if there is one.
func (a *Analyzer) evict(now time.Time) {
	causes := a.possibleCauses(now)
	n := max(slices.IndexFunc(a.suspects, func(s suspect) bool { return !a.hasCause(&s, causes) }), 0)
	a.suspects = slices.Delete(a.suspects, n, n+1)
}

// HasNews returns whether there is something that peers must learn soon, and whether there
// is anything to report at all.
func (a *Analyzer) HasNews(now time.Time) (news, toReport bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.newsUntil), len(a.suspects) > 0
}

func (a *Analyzer) isNews(s *suspect, now time.Time) bool {
	return s.news && now.Sub(s.at) <= newsTime+relayTime
}

// Report returns the report to send now: the suspects that this VM has just seen, and those
// for which requests are rejected, so that a VM that has started rejects them too.
func (a *Analyzer) Report(now time.Time) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	var report Report
	traits := set[Trait]{}
	maps.DeleteFunc(a.corrections, func(_ Trait, until time.Time) bool { return now.After(until) })
	for t := range a.corrections {
		traits.add(t)
	}
	causes := a.possibleCauses(now)
	for i := len(a.suspects) - 1; i >= 0 && len(report.Suspects) < maxReported; i-- {
		s := &a.suspects[i]
		if !a.isNews(s, now) && !a.hasCause(s, causes) {
			continue
		}
		report.Suspects = append(report.Suspects, Suspect{
			ID: s.id, Upstream: s.upstream, Age: now.Sub(s.at), Traits: s.traits,
		})
		for _, t := range s.traits {
			traits.add(t)
		}
	}
	for t := range traits {
		if last := a.answers.last(t); !last.IsZero() && len(report.Answers) < maxAnswersReported {
			report.Answers = append(report.Answers, Answer{Trait: t, Age: now.Sub(last)})
		}
	}
	return report
}

// hasCause reports whether a suspect has a trait for which requests may be rejected.
func (a *Analyzer) hasCause(s *suspect, causes map[Trait]int) bool {
	for _, t := range s.traits {
		if causes[t] >= minCrashes && !a.isCleared(s, t) {
			return true
		}
	}
	return false
}
