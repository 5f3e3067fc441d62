// Package authenticator decides whether a request is accepted by the key that it carries, and for
// which team it is made.
package authenticator

import "github.com/fescuespindle/fescuespindle/internal/online/router"

// Outcome is the result of a decision.
type Outcome uint8

// Outcomes.
const (
	OutcomeAccepted   Outcome = iota
	OutcomeNoKey              // a key is required, and the request carries none
	OutcomeUnknownKey         // a key is required, and no team holds that of the request
)

// Request is what the decision depends on. The key must not be logged.
type Request struct {
	Key    string
	HasKey bool
	Public bool // whether the request needs no key
}

// Decide decides on a request under a configuration. The team is nil if the configuration has no
// teams, or none that holds the key of a public request.
func Decide(table *router.Table, r Request) (*router.Team, Outcome) {
	if !table.HasTeams() {
		return nil, OutcomeAccepted
	}
	if r.HasKey {
		if team, found := table.TeamOf(r.Key); found {
			return team, OutcomeAccepted
		}
	}
	switch {
	case r.Public:
		return nil, OutcomeAccepted
	case r.HasKey:
		return nil, OutcomeUnknownKey
	default:
		return nil, OutcomeNoKey
	}
}
