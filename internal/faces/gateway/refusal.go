package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// reason tells why the system answered a request itself.
type reason string

// The reasons of the system's own answers.
const (
	reasonUnconfigured reason = "unconfigured"
	reasonNoRoute      reason = "noRoute"
	reasonMalformed    reason = "malformed"
	reasonTooLarge     reason = "tooLarge"
	reasonBodyCut      reason = "bodyCut"
	reasonNoMemory     reason = "noMemory"
	reasonNoUpstream   reason = "noUpstream"
	reasonRefused      reason = "refusedByUpstreams"
	reasonCondemned    reason = "crashesUpstreams"
	reasonDeadline     reason = "deadline"
	reasonFailed       reason = "failed"
)

const (
	// comeBackBase is the earliest time at which a refused caller should come
	// back, and comeBackSpread spreads those who do.
	comeBackBase   = 100 * time.Millisecond
	comeBackSpread = 200 * time.Millisecond
)

// refuse answers a request that has not reached an upstream, or that surely
// didn't run there.
func (g *Gateway) refuse(x *exchange, status int, why reason) {
	var comeBack time.Duration
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		comeBack = comeBackBase + rand.N(comeBackSpread)
	}
	g.answer(x, status, why, comeBack)
}

// answer gives an answer of the system's own.
func (g *Gateway) answer(x *exchange, status int, why reason, comeBack time.Duration) {
	id := ""
	if x.request.Call != nil {
		id = x.request.Call.ID
	}
	g.counter.Count(`own_answers_total{reason="` + string(why) + `"}`)
	g.codec.EncodeLocalReplyHeader(x.w.Header(), id, comeBack)
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
	g.logger.Info("answered by the system", "id", id, "status", status, "reason", why,
		"route", x.routeName(), "version", x.request.version, "comeBack", comeBack, "path", x.r.URL.Path)
}

func (x *exchange) routeName() string {
	if x.request.route == nil {
		return ""
	}
	return x.request.route.Name
}
