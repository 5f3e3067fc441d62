package authenticator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/authenticator"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

func TestDecide(t *testing.T) {
	withTeams := router.NewTable(router.Configuration{Version: 1, Teams: []router.Team{{Name: "a", Keys: []string{"k"}}}})
	expect := func(table *router.Table, r authenticator.Request, wantTeam string, want authenticator.Outcome) {
		t.Helper()
		team, outcome := authenticator.Decide(table, r)
		qt.Check(t, outcome, qt.Equals, want)
		name := ""
		if team != nil {
			name = team.Name
		}
		qt.Check(t, name, qt.Equals, wantTeam)
	}
	known, unknown := authenticator.Request{Key: "k", HasKey: true}, authenticator.Request{Key: "x", HasKey: true}
	expect(withTeams, known, "a", authenticator.OutcomeAccepted)
	expect(withTeams, unknown, "", authenticator.OutcomeUnknownKey)
	expect(withTeams, authenticator.Request{}, "", authenticator.OutcomeNoKey)
	known.Public, unknown.Public = true, true
	expect(withTeams, known, "a", authenticator.OutcomeAccepted)
	expect(withTeams, unknown, "", authenticator.OutcomeAccepted)
	expect(withTeams, authenticator.Request{Public: true}, "", authenticator.OutcomeAccepted)
	expect(router.NewTable(router.Configuration{Version: 1}), authenticator.Request{}, "", authenticator.OutcomeAccepted)
}
