package attempter

import "github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"

// outputMemory is the memory that a run has reserved for its output.
type outputMemory struct {
	reservation *rationer.Reservation
	bytes       int // of output for which there is memory
}

func newOutputMemory(budget *rationer.Rationer) *outputMemory {
	return &outputMemory{reservation: budget.NewReservation(), bytes: unreservedOutputBytes}
}

// reserve reserves memory for an output of a size in bytes. It returns false if the budget has too little.
func (m *outputMemory) reserve(size int) bool {
	for m.bytes < size {
		if !m.reservation.Grow(growthFactor * outputStepBytes) {
			return false
		}
		m.bytes += outputStepBytes
	}
	return true
}

// release returns all memory to the budget.
func (m *outputMemory) release() { m.reservation.Release() }
