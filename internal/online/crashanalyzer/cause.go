package crashanalyzer

import (
	"slices"
	"time"
)

const (
	// answerGrace is how long after its last answer no trait is a possible cause: if many
	// upstreams crash at once, the most common traits are on all of them.
	answerGrace = 3 * time.Second
	// causesTime is how long possible causes are used without a change of what they follow
	// from: they also depend on time.
	causesTime = 100 * time.Millisecond
)

// explainedCrashes returns the number of crashes that the traits of a request explain, and
// when the last of them was. A suspect that is sent again after a crash, and has a part that
// the request lacks, counts once: that part may be the cause of all its crashes.
func (a *Analyzer) explainedCrashes(causes map[Trait]int, traits []Trait) (crashes int, last time.Time) {
	explained, countedOnce := set[int]{}, set[Trait]{}
	for i := range a.suspects {
		s := &a.suspects[i]
		if !a.isExplained(s, causes, traits) {
			continue
		}
		last = later(last, s.at)
		if !a.hasUnclearedPartsOf(s, traits) {
			if countedOnce.has(s.request()) {
				continue
			}
			countedOnce.add(s.request())
		}
		explained.add(s.crash)
	}
	return len(explained), last
}

// hasUnclearedPartsOf reports whether the traits of a request include all parts of a suspect
// that may be the cause, whether or not other suspects have them.
func (a *Analyzer) hasUnclearedPartsOf(s *suspect, traits []Trait) bool {
	return !slices.ContainsFunc(s.parts(), func(t Trait) bool {
		return !slices.Contains(traits, t) && !a.isCleared(s, t)
	})
}

// isExplained reports whether the traits of a request include all possible causes of a
// suspect's crash, of which there must be one. The whole request is one only if no part is.
func (a *Analyzer) isExplained(s *suspect, causes map[Trait]int, traits []Trait) bool {
	explained := false
	for _, t := range s.parts() {
		if causes[t] == 0 || a.isCleared(s, t) {
			continue
		}
		if !slices.Contains(traits, t) {
			return false
		}
		explained = true
	}
	return explained || (causes[s.request()] > 0 && slices.Contains(traits, s.request()))
}

// isCleared reports whether a trait was answered after a suspect's crash.
func (a *Analyzer) isCleared(s *suspect, t Trait) bool { return a.answers.last(t).After(s.at) }

// possibleCauses returns the traits that may have caused crashes, each with the number of
// crashes. The caller must hold mu.
func (a *Analyzer) possibleCauses(now time.Time) map[Trait]int {
	if !now.Before(a.causesUntil) {
		a.causes, a.causesUntil = a.findCauses(now), now.Add(causesTime)
	}
	return a.causes
}

// occurrences are where a trait was among the suspects.
type occurrences struct {
	crashes  set[int]
	requests set[Trait]
}

// findCauses returns the parts that suspects of several requests have in common, and the
// whole requests that are suspects of minCrashes crashes. None of them were answered since,
// or within answerGrace. A part of one request alone, which is sent again after a crash, is
// no more of a cause than that request is.
func (a *Analyzer) findCauses(now time.Time) map[Trait]int {
	seen := map[Trait]occurrences{}
	for i := range a.suspects {
		s := &a.suspects[i]
		for _, t := range s.traits {
			if a.isCleared(s, t) {
				continue
			}
			if _, found := seen[t]; !found {
				seen[t] = occurrences{crashes: set[int]{}, requests: set[Trait]{}}
			}
			seen[t].crashes.add(s.crash)
			seen[t].requests.add(s.request())
		}
	}
	causes := map[Trait]int{}
	for t, at := range seen {
		isCommon := len(at.requests) > 1 || (at.requests.has(t) && len(at.crashes) >= minCrashes)
		if last := a.answers.last(t); isCommon && (last.IsZero() || now.Sub(last) >= answerGrace) {
			causes[t] = len(at.crashes)
		}
	}
	return causes
}
