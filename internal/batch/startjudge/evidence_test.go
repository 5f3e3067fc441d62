package startjudge_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/startjudge"
)

var start = time.Now()

// at returns a time after the start.
func at(after time.Duration) time.Time { return start.Add(after) }

// silentSince returns the silence of a part that last answered at the start, and hasn't answered a check that
// began at a time.
func silentSince(began time.Duration) *startjudge.Silence {
	s := &startjudge.Silence{}
	s.RecordAnswer(start)
	s.RecordNoAnswer(at(began), at(began+startjudge.CheckTimeout))
	return s
}

// expectAllowed checks whether items may start after a time.
func expectAllowed(t *testing.T, e startjudge.Evidence, s *startjudge.Silence, after time.Duration, want bool) {
	t.Helper()
	qt.Check(t, e.AllowsStart(s, at(after)), qt.Equals, want, qt.Commentf("after %s", after))
}

// Guards against: items of a job that may have ended start on old evidence, or wait although the store doesn't
// answer.
func TestOwnEvidenceCountsForTwoSecondsUnlessTheStoreIsSilent(t *testing.T) {
	e := startjudge.FromStore(start, time.Time{})
	answering := &startjudge.Silence{}
	answering.RecordAnswer(start)
	expectAllowed(t, e, answering, 2*time.Second, true)
	expectAllowed(t, e, answering, 2*time.Second+1, false)
	expectAllowed(t, e, silentSince(time.Second), 2800*time.Millisecond, true)
	expectAllowed(t, e, silentSince(time.Second), 2800*time.Millisecond+1, false)
	expectAllowed(t, e, silentSince(9*time.Second), 10*time.Second, true)
	expectAllowed(t, e, silentSince(9*time.Second), 10*time.Second+1, false)
}

// Guards against: the word of another process counts while the store answers, if slowly.
func TestWordOfASenderCountsOnlyInLongSilence(t *testing.T) {
	e := startjudge.FromSender(start, time.Time{})
	answering := &startjudge.Silence{}
	answering.RecordAnswer(start)
	expectAllowed(t, e, answering, 0, false)
	expectAllowed(t, e, silentSince(time.Second), 1399*time.Millisecond, false)
	expectAllowed(t, e, silentSince(time.Second), 1400*time.Millisecond, true)
}

// Guards against: a job whose end was reported runs on, or never again after a false report.
func TestReportedEndCountsUntilTheStoreContradictsIt(t *testing.T) {
	e := startjudge.FromStore(start, time.Time{})
	s := &startjudge.Silence{}
	s.RecordAnswer(start)
	e.HearEnd(at(time.Second))
	expectAllowed(t, e, s, time.Second, false)
	qt.Check(t, e.NeedsCheck(at(time.Second)), qt.IsTrue)
	e.Learn(at(900 * time.Millisecond))
	expectAllowed(t, e, s, time.Second, false)
	e.Learn(at(time.Second))
	expectAllowed(t, e, s, time.Second, true)
}

// Guards against: evidence that doesn't count here is told to another VM as if it counted.
func TestAgeOfEvidenceThatDoesNotCountIsTooHighElsewhere(t *testing.T) {
	e := startjudge.FromStore(start, time.Time{})
	s := &startjudge.Silence{}
	s.RecordAnswer(start)
	qt.Check(t, e.AgeToTell(s, at(time.Second)), qt.Equals, time.Second)
	qt.Check(t, e.AgeToTell(s, at(3*time.Second)) > 10*time.Second, qt.IsTrue)
	e.HearEnd(at(time.Second))
	qt.Check(t, e.AgeToTell(s, at(time.Second)) > 10*time.Second, qt.IsTrue)
}
