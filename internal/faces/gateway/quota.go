package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// Quotas decides whether the quota of a team allows a request.
type Quotas interface {
	Admit(team string) quotakeeper.Decision
	// Return gives back a request that no upstream has run, some time after it was admitted.
	Return(team string, after time.Duration)
}

// WithQuotas sets what keeps the quotas of teams. Without it, teams have none.
func WithQuotas(q Quotas) Option { return func(g *Gateway) { g.quotas = q } }

// Metrics of quotas by outcome.
const (
	countAdmitted  = `quota_requests_total{outcome="admitted"}`
	countReturned  = `quota_requests_total{outcome="givenBack"}`
	countOverQuota = `quota_requests_total{outcome="overQuota"}`
	countUncounted = `quota_requests_total{outcome="uncounted"}`
)

// maxQuotaJitter is the range of a random addition to the time after which to return, so that the callers of a team
// don't do so at the same time.
const maxQuotaJitter = 100 * time.Millisecond

// maxRejectedTeams bounds the teams whose rejections are counted by name; those of others are counted together.
const maxRejectedTeams = 20

// rejectedTeams are the teams whose rejections are counted by name.
type rejectedTeams struct {
	mu    sync.Mutex
	names map[string]bool
}

// label returns the name under which rejections of a team are counted.
func (r *rejectedTeams) label(team string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.names[team] && len(r.names) < maxRejectedTeams {
		if r.names == nil {
			r.names = map[string]bool{}
		}
		r.names[team] = true
	}
	if r.names[team] {
		return strconv.Quote(team)
	}
	return `""` // all others
}

// limitQuota rejects requests beyond the quota of their team, before their body is read. A request that no
// upstream has run is given back.
func (g *Gateway) limitQuota(next handler) handler {
	return func(x *exchange) {
		if g.quotas == nil || x.team == nil || !x.team.HasQuota() {
			next(x)
			return
		}
		decision := g.quotas.Admit(x.team.Name)
		if decision.Outcome != quotakeeper.Admitted {
			g.rejectOverQuota(x, decision)
			return
		}
		admittedAt := time.Now()
		g.counter.Count(countAdmitted)
		next(x)
		if decision.Counted && !x.ran {
			g.counter.Count(countReturned)
			g.quotas.Return(x.team.Name, time.Since(admittedAt))
		}
	}
}

// rejectOverQuota rejects a request, with the time after which the team is expected to have a request left.
func (g *Gateway) rejectOverQuota(x *exchange, d quotakeeper.Decision) {
	cause := reasonOverQuota
	if d.Outcome == quotakeeper.Uncounted {
		cause = reasonQuotaUncounted
		g.counter.Count(countUncounted)
	} else {
		g.counter.Count(countOverQuota)
	}
	g.counter.Count(`quota_rejected_total{team=` + g.rejected.label(x.team.Name) + `}`)
	g.localReply(x, http.StatusTooManyRequests, cause, d.Wait+rand.N(maxQuotaJitter),
		"quotaPerSecond", x.team.RatePerSecond, "quotaBurst", x.team.Burst,
		"tokens", d.Tokens, "tokensAge", d.Age, "uncounted", d.Pending)
}
