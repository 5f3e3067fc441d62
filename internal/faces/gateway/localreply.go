package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// reason is why the gateway sent a local reply, a response that comes from no upstream.
type reason string

// Reasons of local replies, as they appear in logs and metrics.
const (
	reasonUnconfigured     reason = "unconfigured"
	reasonNoRoute          reason = "noRoute"
	reasonNoKey            reason = "noKey"
	reasonUnknownKey       reason = "unknownKey"
	reasonKeysOutdated     reason = "keysOutdated"
	reasonMalformed        reason = "malformed"
	reasonTooLarge         reason = "tooLarge"
	reasonBodyTruncated    reason = "bodyCut"
	reasonNoMemory         reason = "noMemory"
	reasonNoUpstream       reason = "noUpstream"
	reasonUnreachable      reason = "unreachable"
	reasonStopping         reason = "stopping"
	reasonRateLimited      reason = "rateLimited"
	reasonVersionUnknown   reason = "streamVersionUnknown"
	reasonNoRoom           reason = "noRoom"
	reasonRejected         reason = "refusedByUpstreams"
	reasonCrashesUpstreams reason = "crashesUpstreams"
	reasonOverQuota        reason = "overQuota"
	reasonQuotaUncounted   reason = "quotaUncounted"
	reasonDeadline         reason = "deadline"
	reasonFailed           reason = "failed"
)

const (
	// retryAfterBase is the shortest delay after which a rejected caller should retry.
	// retryAfterJitter is the range of a random addition, so that callers don't retry at
	// the same time.
	retryAfterBase   = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
)

// reject sends a local reply to a request that got no final answer from an upstream.
// Callers take the statuses of meansNotRun as a guarantee that the request did not run,
// so they must not be used for one that may have. With 429 and 503, reject adds the
// delay after which to retry.
func (g *Gateway) reject(x *exchange, status int, cause reason) {
	var retryAfter time.Duration
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter = retryAfterBase + rand.N(retryAfterJitter)
	}
	g.localReply(x, status, cause, retryAfter)
}

// rejectUntil rejects a request that was not sent because all upstreams are full, and tells its
// caller to retry when there will be room.
func (g *Gateway) rejectUntil(x *exchange, roomAt time.Time) {
	delay := max(time.Until(roomAt), retryAfterBase)
	g.localReply(x, http.StatusServiceUnavailable, reasonNoRoom, delay+rand.N(retryAfterJitter))
}

// localReply writes, counts and logs a local reply, with the details of its reason. A zero retryAfter is not
// sent.
func (g *Gateway) localReply(x *exchange, status int, cause reason, retryAfter time.Duration, details ...any) {
	id := ""
	if x.request.Call != nil {
		id = x.request.Call.ID
	}
	g.counter.Count(`own_answers_total{reason="` + string(cause) + `"}`)
	g.codec.EncodeLocalReplyHeader(x.w.Header(), id, retryAfter)
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
	g.logger.Info("local reply", append([]any{
		"id", id, "status", status, "reason", cause, "route", x.routeName(), "team", x.teamName(),
		"version", x.request.configVersion, "comeBack", retryAfter, "path", x.r.URL.Path,
	}, details...)...)
}

// routeName returns the name of the matched route, or "" before a match.
func (x *exchange) routeName() string {
	if x.request.route == nil {
		return ""
	}
	return x.request.route.Name
}
