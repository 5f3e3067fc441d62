// Package gateway serves callers' HTTP requests of any host and path. A request passes
// a chain of filters that ends in the handler of its route.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/faces/bodyreader"
	"github.com/fescuespindle/fescuespindle/internal/online/authenticator"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/pacer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/online/slotqueuer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// Request is a decoded request of a caller.
type Request struct {
	Call *courier.Call
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	// LastEvent is the identifier of the last event that the caller has received; empty
	// for a new stream.
	LastEvent string
	// Resumes is the ID of the caller's request whose answer had the first event of the
	// stream; empty for a new stream.
	Resumes string
	// SharedParts are the IDs of the parts of the prompt that other requests may have too,
	// in order.
	SharedParts []string

	route         *router.Route
	service       string
	configVersion uint64
	receivedAt    time.Time
	traits        []crashanalyzer.Trait
}

// beganAs returns the ID of the request that began the stream, or of this one. A stream goes
// on at the service that began it.
func (r *Request) beganAs() string {
	if r.Resumes != "" && r.LastEvent != "" {
		return r.Resumes
	}
	return r.Call.ID
}

// Codec translates between callers' wire format and requests, answers and local
// replies.
type Codec interface {
	// DecodeCall decodes the request line and the header.
	DecodeCall(r *http.Request, now time.Time) (Request, error)
	// EncodeUpstreamHeader copies the header of an upstream's answer.
	EncodeUpstreamHeader(to, from http.Header)
	// EncodeLocalReplyHeader writes the header of a local reply. An empty id and a zero
	// retryAfter are left out.
	EncodeLocalReplyHeader(to http.Header, id string, retryAfter time.Duration)
	// DecodeKey returns the key that a request carries, or false if it carries none.
	DecodeKey(r *http.Request) (key string, found bool)
	// EncodeChallenge writes what the header of a reply of status 401 says about keys.
	EncodeChallenge(to http.Header)
}

// Courier sends an attempt of a request to one upstream.
type Courier interface {
	Send(ctx context.Context, slot *placer.Slot, call *courier.Call, target courier.Target) (*courier.Delivery, error)
	// HasCrashed returns whether the process of an upstream that broke off has ended.
	HasCrashed(ctx context.Context, u placer.Upstream) bool
}

// Placer chooses an upstream for each attempt.
type Placer interface {
	// AcquireOnline returns placer.ErrNoUpstream, placer.ErrRateLimited,
	// placer.ErrRetryLater or a placer.NoRoomError.
	AcquireOnline(work placer.OnlineWork, now time.Time) (*placer.Slot, error)
	// RecordFailure records that the upstream of a slot is unresponsive.
	RecordFailure(slot *placer.Slot, now time.Time)
}

// CrashAnalyzer finds out which requests crash upstreams.
type CrashAnalyzer interface {
	Decide(traits []crashanalyzer.Trait, now time.Time) crashanalyzer.Decision
	// RecordCrash records that an upstream crashed before it began to answer a request.
	RecordCrash(upstream string, traits []crashanalyzer.Trait, now time.Time)
	// RecordAnswer records that an upstream has begun to answer a request.
	RecordAnswer(traits []crashanalyzer.Trait, now time.Time)
}

// Jobs serves calls on batch jobs.
type Jobs interface {
	// IsJobCall returns whether a request is a call on a job, by its path alone.
	IsJobCall(r *http.Request) bool
	// Serve answers a request that belongs to a job.
	Serve(w http.ResponseWriter, r *http.Request, about JobContext)
}

// JobContext is what the configuration in force says of a call on a job.
type JobContext struct {
	// Route is nil if IsJobCall identified the request.
	Route *router.Route
	// Table is the configuration that has the route.
	Table *router.Table
	// Team is nil if the configuration has no teams, or if the call needs no key and carries no
	// known one.
	Team *router.Team
}

// Counter updates metrics by name.
type Counter interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	codec    Codec
	courier  Courier
	placer   Placer
	crashes  CrashAnalyzer
	versions StreamVersions
	jobs     Jobs
	memory   *rationer.Rationer
	pacer    *pacer.Pacer
	slots    *slotqueuer.Queuer
	counter  Counter
	logger   *slog.Logger

	quotas   Quotas // nil if none are kept
	rejected rejectedTeams

	table     atomic.Pointer[router.Table]
	draining  atomic.Pointer[drainer.Plan] // nil until Drain
	aborted   context.Context              //nolint:containedctx // ends with the gateway, not with a request
	abort     context.CancelCauseFunc
	chain     handler
	startGate startGate

	authenticator authenticator.Authenticator
}

// Option sets one property of a Gateway.
type Option func(*Gateway)

// WithAuthenticator replaces the authenticator, which accepts keys of a configuration of any age.
func WithAuthenticator(a authenticator.Authenticator) Option {
	return func(g *Gateway) { g.authenticator = a }
}

// New returns a gateway without a configuration. Bytes that it holds for callers are
// reserved from memory.
func New(
	codec Codec, c Courier, p Placer, crashes CrashAnalyzer, versions StreamVersions, jobs Jobs, memory *rationer.Rationer, counter Counter,
	logger *slog.Logger, options ...Option,
) *Gateway {
	g := &Gateway{
		codec: codec, courier: c, placer: p, crashes: crashes, versions: versions, jobs: jobs, memory: memory, counter: counter,
		logger: logger, pacer: pacer.New(), slots: slotqueuer.New(), startGate: newStartGate(),
	}
	for _, option := range options {
		option(g)
	}
	g.aborted, g.abort = context.WithCancelCause(context.Background())
	g.chain = g.closeIfDraining(g.waitForStart(g.requireConfiguration(g.serveJobCalls(
		g.decodeHead(g.matchRoute(g.requireKey(g.chooseService(g.limitQuota(g.readBody(g.run))))))))))
	return g
}

// SetTable replaces the configuration; nil means none.
func (g *Gateway) SetTable(t *router.Table) {
	g.table.Store(t)
	services := map[string]bool{}
	if t != nil {
		for _, service := range t.Services() {
			services[service.Name] = true
		}
	}
	g.slots.Retain(services)
}

// Table returns the current configuration, or nil.
func (g *Gateway) Table() *router.Table { return g.table.Load() }

// exchange is the state of one request in the filter chain.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	table   *router.Table
	request Request
	// team is nil if the configuration has no teams, or if the route is public and the request
	// carries no known key.
	team *router.Team
	// ran is set if an upstream may have run the request.
	ran bool
}

// handler is a filter, with the rest of the chain behind it.
type handler func(x *exchange)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.chain(&exchange{w: w, r: r})
}

// requireConfiguration rejects requests while the gateway has no configuration.
func (g *Gateway) requireConfiguration(next handler) handler {
	return func(x *exchange) {
		x.table = g.table.Load()
		if x.table == nil {
			g.reject(x, http.StatusServiceUnavailable, reasonUnconfigured)
			return
		}
		next(x)
	}
}

// serveJobCalls passes calls on batch jobs, which are identified by path, to Jobs.
func (g *Gateway) serveJobCalls(next handler) handler {
	return func(x *exchange) {
		if g.jobs.IsJobCall(x.r) {
			x.request.configVersion = x.table.Version()
			if g.authenticate(x, x.table.HasPublicJobs(x.r.Host)) {
				g.serveJob(x, nil)
			}
			return
		}
		next(x)
	}
}

// serveJob passes a call on a job to Jobs. The route is nil for calls that are identified by path.
func (g *Gateway) serveJob(x *exchange, route *router.Route) {
	if !g.rejectIfLate(x, time.Now().Add(maxJobCallTime)) {
		g.jobs.Serve(x.w, x.r, JobContext{Route: route, Table: x.table, Team: x.team})
	}
}

// matchRoute finds the route.
func (g *Gateway) matchRoute(next handler) handler {
	return func(x *exchange) {
		route, found := x.table.Match(x.r.Host, x.r.URL.Path)
		if !found {
			g.reject(x, http.StatusNotFound, reasonNoRoute)
			return
		}
		x.request.route, x.request.configVersion = route, x.table.Version()
		next(x)
	}
}

// chooseService passes requests on a batch route to Jobs; for others, it chooses the service by the
// request ID, and applies the route's timeout to the deadline.
func (g *Gateway) chooseService(next handler) handler {
	return func(x *exchange) {
		route := x.request.route
		if route.Kind == router.KindBatch {
			g.serveJob(x, route)
			return
		}
		x.request.service = route.Service(xxhash.Sum64String(x.request.beganAs()))
		if route.Timeout > 0 {
			x.request.Deadline = earliest(x.request.Deadline, x.request.receivedAt.Add(route.Timeout))
		}
		if !g.rejectIfLate(x, x.request.Deadline) {
			next(x)
		}
	}
}

// decodeHead decodes the request line and the header.
func (g *Gateway) decodeHead(next handler) handler {
	return func(x *exchange) {
		now := time.Now()
		var err error
		x.request, err = g.codec.DecodeCall(x.r, now)
		x.request.receivedAt = now
		if err != nil {
			g.logger.Warn("malformed request", "error", err, "path", x.r.URL.Path)
			g.reject(x, http.StatusBadRequest, reasonMalformed)
			return
		}
		next(x)
	}
}

// readBody reads the body within the configured limits, and releases its memory when
// the rest of the chain returns.
func (g *Gateway) readBody(next handler) handler {
	return func(x *exchange) {
		body, reservation, err := bodyreader.Read(x.w, x.r, x.table.Limits(), g.memory)
		defer reservation.Release()
		var tooLarge *http.MaxBytesError
		switch {
		case errors.Is(err, bodyreader.ErrNoMemory):
			g.reject(x, http.StatusServiceUnavailable, reasonNoMemory)
		case errors.As(err, &tooLarge):
			g.reject(x, http.StatusRequestEntityTooLarge, reasonTooLarge)
		case err != nil:
			g.logger.Info("request body not received", "id", x.request.Call.ID, "error", err)
			g.reject(x, http.StatusRequestTimeout, reasonBodyTruncated)
		default:
			call := x.request.Call
			call.Body = body
			x.request.traits = crashanalyzer.TraitsOf(call.Host, call.URI, body, x.request.SharedParts)
			next(x)
		}
	}
}

// earliest returns the earlier of two times, or b if a is zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
