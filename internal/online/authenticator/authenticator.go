// Package authenticator decides whether a request is accepted by the key that it carries, and for
// which team it is made.
package authenticator

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

// Outcome is the result of a decision.
type Outcome uint8

// Outcomes.
const (
	OutcomeAccepted   Outcome = iota
	OutcomeNoKey              // a key is required, and the request carries none
	OutcomeUnknownKey         // a key is required, and no team holds that of the request
	// OutcomeKeysOutdated means that the configuration is too old to decide by it.
	OutcomeKeysOutdated
)

// Request is what the decision depends on. The key must not be logged.
type Request struct {
	Key    string
	HasKey bool
	Public bool // whether the request needs no key
}

// Authenticator decides on requests. The zero value accepts keys of a configuration of any age.
type Authenticator struct {
	maxKeyAge   time.Duration    // 0 for any
	confirmedAt func() time.Time // called if maxKeyAge isn't 0
}

// Option sets one property of an Authenticator.
type Option func(*Authenticator)

// WithMaxKeyAge sets how long ago the configuration may last have been known to be the newest, for
// requests to be accepted or rejected by its keys; 0 means any time. The function returns when that
// was; zero if it never was.
func WithMaxKeyAge(age time.Duration, confirmedAt func() time.Time) Option {
	return func(a *Authenticator) { a.maxKeyAge, a.confirmedAt = age, confirmedAt }
}

// New returns an Authenticator.
func New(options ...Option) Authenticator {
	var a Authenticator
	for _, option := range options {
		option(&a)
	}
	return a
}

// Decide decides on a request under the configuration in force. The team is nil if the configuration
// has no teams, or none that holds the key of a public request.
func (a Authenticator) Decide(table *router.Table, r Request, now time.Time) (*router.Team, Outcome) {
	switch {
	case !table.HasTeams(), r.Public && !r.HasKey:
		return nil, OutcomeAccepted
	case a.isOutdated(now):
		return nil, OutcomeKeysOutdated
	case !r.HasKey:
		return nil, OutcomeNoKey
	}
	team, found := table.TeamOf(r.Key)
	if !found && !r.Public {
		return nil, OutcomeUnknownKey
	}
	return team, OutcomeAccepted
}

// isOutdated returns whether a key may have been taken away, or added, too long ago.
func (a Authenticator) isOutdated(now time.Time) bool {
	if a.maxKeyAge == 0 {
		return false
	}
	confirmedAt := a.confirmedAt()
	return confirmedAt.IsZero() || now.Sub(confirmedAt) >= a.maxKeyAge
}
