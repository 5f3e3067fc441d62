package jobmover_test

import (
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// expectInDoubt moves a job to VMs that send the given answers.
func expectInDoubt(t *testing.T, answers func(line, body string) map[string]string) {
	for name, answer := range answers("A: b", "{}") {
		t.Run(name, func(t *testing.T) {
			address := rawresponder.Start(t, answer)
			transport := transporter.New(nil)
			defer transport.CloseIdleConnections()
			m := jobmover.New(transport, slog.New(slog.DiscardHandler))
			m.SetPeers(map[string]string{"b": address})
			qt.Check(t, m.Move(t.Context(), "b", job), qt.ErrorIs, jobmover.ErrInDoubt)
		})
	}
}

// Guards against: a job that another VM may run counts as not taken over, and runs twice, as the status of that VM's answer is none.
func TestAnswerWithoutAValidStatusLeavesTheOutcomeUnknown(t *testing.T) {
	expectInDoubt(t, rawresponder.InvalidStatuses)
}

// Guards against: a job that another VM may run counts as not taken over as that VM's answer has a field whose name is none.
func TestAnswerWithAnInvalidNameLeavesTheOutcomeUnknown(t *testing.T) {
	expectInDoubt(t, rawresponder.InvalidNames)
}
