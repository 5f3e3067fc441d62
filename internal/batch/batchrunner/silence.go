package batchrunner

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// silence is what this VM knows of whether a part of the store answers it. The jobs of the part share
// it, so that one of them asks in an outage, not all.
type silence struct {
	// silentAt is when the last check began that has ended without an answer, or zero if the part has
	// answered since.
	silentAt   time.Time
	answeredAt time.Time // when the last answer came
	checks     int       // checks in flight
	probeDue   time.Time // when the next check may begin while the part doesn't answer
}

// recordAnswer records an answer of the part.
func (s *silence) recordAnswer(now time.Time) { s.silentAt, s.answeredAt = time.Time{}, now }

// recordNoAnswer records a check that has got no answer from began to ended. It shows nothing if another
// call was answered meanwhile.
func (s *silence) recordNoAnswer(began, ended time.Time) {
	if began.Before(s.answeredAt) {
		return
	}
	if began.After(s.silentAt) {
		s.silentAt = began
	}
	s.probeDue = ended.Add(checkPause)
}

// holds returns whether the part doesn't answer this VM.
func (s *silence) holds(now time.Time) bool { return now.Sub(s.silentAt) <= maxSilenceAge }

// allowsCheck returns whether a check may begin.
func (s *silence) allowsCheck(now time.Time) bool {
	return !s.holds(now) || (s.checks == 0 && !now.Before(s.probeDue))
}

// silenceOf returns the silence of the part that holds a job.
func (r *Runner) silenceOf(j *job) *silence { return &r.silences[batchkeeper.PartOf(j.stored.ID)] }

// learn records that an answer of the store has shown that a job is open and nobody else's.
func (r *Runner) learn(j *job, asOf, now time.Time) {
	j.evidence.learn(asOf)
	r.silenceOf(j).recordAnswer(now)
}
