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

// expectDecision checks the team and the outcome of a request, with a configuration that was the newest at a time.
func expectDecision(
	t *testing.T, maxAge time.Duration, confirmedAt time.Time, table *router.Table, r authenticator.Request,
	wantTeam string, want authenticator.Outcome,
) {
	t.Helper()
	a := authenticator.New(authenticator.WithMaxKeyAge(maxAge, func() time.Time { return confirmedAt }))
	team, outcome := a.Decide(table, r, now)
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
		expectDecision(t, 0, time.Time{}, table, r, wantTeam, want)
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
	expect := func(confirmedAt time.Time, table *router.Table, r authenticator.Request, wantTeam string, want authenticator.Outcome) {
		t.Helper()
		expectDecision(t, maxKeyAge, confirmedAt, table, r, wantTeam, want)
	}
	withoutTeams := router.NewTable(router.Configuration{Version: 1})
	for _, confirmedAt := range []time.Time{now.Add(-maxKeyAge), {}} {
		for _, r := range []authenticator.Request{known, unknown, keyless, public(known), public(unknown)} {
			expect(confirmedAt, withTeams, r, "", authenticator.OutcomeKeysOutdated)
		}
		expect(confirmedAt, withTeams, public(keyless), "", authenticator.OutcomeAccepted)
		expect(confirmedAt, withoutTeams, keyless, "", authenticator.OutcomeAccepted)
	}
	fresh := now.Add(-maxKeyAge + 1)
	expect(fresh, withTeams, known, "a", authenticator.OutcomeAccepted)
	expect(fresh, withTeams, unknown, "", authenticator.OutcomeUnknownKey)
	expect(fresh, withTeams, keyless, "", authenticator.OutcomeNoKey)
}
