package tablesharer

import "time"

// ConfirmedAt returns a time at which the known content was the newest, as the store or a VM that had read it
// has told; zero if none has.
//
// It is the beginning of a call that the store has answered. The answer itself may be older than its
// arrival: a VM that stood still reads it when it goes on.
func (s *Sharer) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// confirm records that the known content was the newest at a time. The caller must hold mu.
func (s *Sharer) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// confirmedAge returns how long ago the known content was the newest, or 0 if that isn't known.
func (s *Sharer) confirmedAge(now time.Time) time.Duration {
	at := s.ConfirmedAt()
	if at.IsZero() {
		return 0
	}
	return max(now.Sub(at), 1)
}
