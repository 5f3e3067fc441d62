package gateway

import (
	"net/http"

	"github.com/fescuespindle/fescuespindle/internal/online/authenticator"
)

// keyReasons are the reasons of local replies to requests whose key isn't accepted.
var keyReasons = map[authenticator.Outcome]reason{
	authenticator.OutcomeNoKey:      reasonNoKey,
	authenticator.OutcomeUnknownKey: reasonUnknownKey,
}

// requireKey rejects requests without the key of a team, unless their route is public, before
// their body is read. The call is sent in the name of the team.
func (g *Gateway) requireKey(next handler) handler {
	return func(x *exchange) {
		if !g.authenticate(x, x.request.route.Public) {
			return
		}
		call := x.request.Call
		call.HasTeams = x.table.HasTeams()
		if x.team != nil {
			call.Team = x.team.Name
		}
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
	x.team, outcome = authenticator.Decide(x.table, authenticator.Request{Key: key, HasKey: found, Public: public})
	if outcome == authenticator.OutcomeAccepted {
		return true
	}
	g.codec.EncodeChallenge(x.w.Header())
	g.reject(x, http.StatusUnauthorized, keyReasons[outcome])
	return false
}
