package gateway

import (
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/authenticator"
)

// requireKey rejects requests without the key of a team, unless their route is public, before
// their body is read. The call is sent in the name of the team.
func (g *Gateway) requireKey(next handler) handler {
	return func(x *exchange) {
		if !g.authenticate(x, x.request.route.Public) {
			return
		}
		x.request.Call.HasTeams, x.request.Call.Team = x.table.HasTeams(), x.teamName()
		next(x)
	}
}

// authenticate finds the team of a request. If the request needs a key and carries no known one,
// it answers it and returns false.
func (g *Gateway) authenticate(x *exchange, public bool) bool {
	if !x.table.HasTeams() {
		return true
	}
	key, found := g.codec.DecodeKey(x.r)
	var outcome authenticator.Outcome
	request := authenticator.Request{Key: key, HasKey: found, Public: public}
	x.team, outcome = g.authenticator.Decide(x.table, request, time.Now())
	switch outcome {
	case authenticator.OutcomeAccepted:
		return true
	case authenticator.OutcomeKeysOutdated:
		g.reject(x, http.StatusServiceUnavailable, reasonKeysOutdated)
	case authenticator.OutcomeNoKey:
		g.rejectKey(x, reasonNoKey)
	case authenticator.OutcomeUnknownKey:
		g.rejectKey(x, reasonUnknownKey)
	}
	return false
}

// rejectKey rejects a request that lacks the key of a team.
func (g *Gateway) rejectKey(x *exchange, cause reason) {
	g.codec.EncodeChallenge(x.w.Header())
	g.reject(x, http.StatusUnauthorized, cause)
}

// teamName returns the name of the request's team, or "" if it has none.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}
