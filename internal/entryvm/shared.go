package entryvm

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/placer"
	"github.com/fescuespindle/fescuespindle/internal/quarantiner"
)

// maxStrikes bounds the suspects in one message to other VMs.
const maxStrikes = 50

// sharedState is what VMs tell each other: their work, and their suspects.
type sharedState struct {
	vm *VM
}

// Tell implements peerteller.State.
func (s *sharedState) Tell(now time.Time) (placer.Report, []quarantiner.Strike) {
	return s.vm.placer.Report(), s.vm.quarantine.Recent(maxStrikes, now)
}

// Hear implements peerteller.State.
func (s *sharedState) Hear(vm string, report placer.Report, strikes []quarantiner.Strike, now time.Time) {
	s.vm.placer.Heard(vm, report, now)
	for _, strike := range strikes {
		s.vm.quarantine.Learn(strike, now)
	}
	s.vm.runner.Wake()
}

// Expire implements peerteller.State.
func (s *sharedState) Expire(now time.Time) { s.vm.placer.Expire(now) }
