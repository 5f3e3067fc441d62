package authenticator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/authenticator"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

const maxKeyAge = 5 * time.Second

var (
	now       = time.Unix(1_700_000_000, 0)
	withTeams = router.NewTable(router.Configuration{Version: 1, Teams: []router.Team{{Name: "a", Keys: []string{"k"}}}})
	known     = authenticator.Request{Key: "k", HasKey: true}
	unknown   = authenticator.Request{Key: "x", HasKey: true}
	keyless   = authenticator.Request{}
)

// public returns a request as one of a public route.
func public(r authenticator.Request) authenticator.Request {
	r.Public = true
	return r
}

// expectDecision checks the team and the outcome of a request under a configuration that was confirmed at a time.
func expectDecision(
	t *testing.T, a authenticator.Authenticator, table *router.Table, r authenticator.Request, confirmedAt time.Time,
	wantTeam string, want authenticator.Outcome,
) {
	t.Helper()
	team, outcome := a.Decide(table, r, confirmedAt, now)
	qt.Check(t, outcome, qt.Equals, want)
	name := ""
	if team != nil {
		name = team.Name
	}
	qt.Check(t, name, qt.Equals, wantTeam)
}

func TestDecide(t *testing.T) {
	expect := func(table *router.Table, r authenticator.Request, wantTeam string, want authenticator.Outcome) {
		t.Helper()
		expectDecision(t, authenticator.New(), table, r, time.Time{}, wantTeam, want)
	}
	expect(withTeams, known, "a", authenticator.OutcomeAccepted)
	expect(withTeams, unknown, "", authenticator.OutcomeUnknownKey)
	expect(withTeams, keyless, "", authenticator.OutcomeNoKey)
	expect(withTeams, public(known), "a", authenticator.OutcomeAccepted)
	expect(withTeams, public(unknown), "", authenticator.OutcomeAccepted)
	expect(withTeams, public(keyless), "", authenticator.OutcomeAccepted)
	expect(router.NewTable(router.Configuration{Version: 1}), keyless, "", authenticator.OutcomeAccepted)
}

// A VM that may have missed a revocation neither accepts nor rejects for good.
func TestDecideByAnOldConfiguration(t *testing.T) {
	a := authenticator.New(authenticator.WithMaxKeyAge(maxKeyAge))
	old, fresh := now.Add(-maxKeyAge), now.Add(-maxKeyAge+1)
	for _, confirmedAt := range []time.Time{old, {}} {
		for _, r := range []authenticator.Request{known, unknown, keyless, public(known), public(unknown)} {
			expectDecision(t, a, withTeams, r, confirmedAt, "", authenticator.OutcomeKeysOutdated)
		}
		expectDecision(t, a, withTeams, public(keyless), confirmedAt, "", authenticator.OutcomeAccepted)
		expectDecision(t, a, router.NewTable(router.Configuration{Version: 1}), keyless, confirmedAt, "",
			authenticator.OutcomeAccepted)
	}
	expectDecision(t, a, withTeams, known, fresh, "a", authenticator.OutcomeAccepted)
	expectDecision(t, a, withTeams, unknown, fresh, "", authenticator.OutcomeUnknownKey)
	expectDecision(t, authenticator.New(), withTeams, known, old, "a", authenticator.OutcomeAccepted)
}
