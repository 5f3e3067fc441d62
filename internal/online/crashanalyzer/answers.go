package crashanalyzer

import "time"

// maxAnswers bounds the traits in each of the two maps of answerTimes.
const maxAnswers = 4096

// answerTimes has the time at which each trait was last answered. Of many traits, those
// that were not answered for longest are forgotten.
type answerTimes struct {
	recent, older map[Trait]time.Time
}

func newAnswerTimes() answerTimes {
	return answerTimes{recent: map[Trait]time.Time{}, older: map[Trait]time.Time{}}
}

// last returns the zero time for a trait without a known answer.
func (a *answerTimes) last(t Trait) time.Time {
	if at, found := a.recent[t]; found {
		return at
	}
	return a.older[t]
}

// record records an answer, and reports whether it is newer than the last known one.
func (a *answerTimes) record(t Trait, at time.Time) bool {
	if !at.After(a.last(t)) {
		return false
	}
	if len(a.recent) >= maxAnswers {
		a.recent, a.older = map[Trait]time.Time{}, a.recent
	}
	a.recent[t] = at
	return true
}
