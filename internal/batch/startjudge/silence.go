package startjudge

import "time"

// Silence is what this VM knows of whether a part of the store answers it. The jobs of the part share
// it, so that one of them asks in an outage, not all.
type Silence struct {
	// silentAt is when the last check began that has ended without an answer, or zero if the part has
	// answered since.
	silentAt   time.Time
	answeredAt time.Time // when the last answer came
	checks     int       // checks in flight
	probeDue   time.Time // when the next check may begin while the part doesn't answer
}

// RecordAnswer records an answer of the part.
func (s *Silence) RecordAnswer(now time.Time) { s.silentAt, s.answeredAt = time.Time{}, now }

// RecordNoAnswer records a check that has got no answer from began to ended. It shows nothing if another
// call was answered meanwhile.
func (s *Silence) RecordNoAnswer(began, ended time.Time) {
	if began.Before(s.answeredAt) {
		return
	}
	if began.After(s.silentAt) {
		s.silentAt = began
	}
	s.probeDue = ended.Add(checkPause)
}

// Holds returns whether the part doesn't answer this VM.
func (s *Silence) Holds(now time.Time) bool { return now.Sub(s.silentAt) <= maxSilenceAge }

// AllowsCheck returns whether a check may begin.
func (s *Silence) AllowsCheck(now time.Time) bool {
	return !s.Holds(now) || (s.checks == 0 && !now.Before(s.probeDue))
}

// BeginCheck records that a check begins.
func (s *Silence) BeginCheck() { s.checks++ }

// EndCheck records that a check has ended. Its outcome is recorded by RecordAnswer or RecordNoAnswer.
func (s *Silence) EndCheck() { s.checks-- }
