// Package gateway is the callers' face for requests of any host and path. A
// request passes a chain of filters, which end in its route's handler.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/pacer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// Request is a caller's request as decoded.
type Request struct {
	Call *courier.Call
	// Deadline is when the caller stops waiting; zero if it doesn't say.
	Deadline time.Time
	// LastEvent is the identifier of the last event that the caller has.
	LastEvent string

	route       *router.Route
	service     string
	version     uint64
	began       time.Time
	fingerprint quarantiner.Fingerprint
}

// Codec translates callers' requests and the system's own answers.
type Codec interface {
	DecodeCall(r *http.Request, now time.Time) (Request, error)
	EncodeUpstreamHeader(to, from http.Header)
	EncodeLocalReplyHeader(to http.Header, id string, comeBack time.Duration)
}

// Courier makes attempts.
type Courier interface {
	Send(ctx context.Context, place *placer.Slot, call *courier.Call, target courier.Target) (*courier.Delivery, error)
}

// Placer chooses upstreams.
type Placer interface {
	// AcquireOnline returns placer.ErrNoUpstream or placer.ErrRetryLater.
	AcquireOnline(work placer.OnlineWork, now time.Time) (*placer.Slot, error)
	// RecordFailure notes that the upstream of a place doesn't answer.
	RecordFailure(place *placer.Slot, now time.Time)
}

// Quarantine knows the requests that crash upstreams.
type Quarantine interface {
	ShouldReject(f quarantiner.Fingerprint, now time.Time) bool
	RecordCrash(f quarantiner.Fingerprint, isolated bool, now time.Time) quarantiner.Strike
	Clear(f quarantiner.Fingerprint)
}

// Jobs serves the calls of batch jobs.
type Jobs interface {
	// IsJobCall tells whether a request belongs to a job by its path alone.
	IsJobCall(r *http.Request) bool
	// Serve answers a request that belongs to a job. The route is nil for one
	// that Claims found.
	Serve(w http.ResponseWriter, r *http.Request, route *router.Route)
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Gateway serves callers.
type Gateway struct {
	codec   Codec
	courier Courier
	placer  Placer
	suspect Quarantine
	jobs    Jobs
	memory  *rationer.Rationer
	pacer   *pacer.Pacer
	counter Counter
	logger  *slog.Logger

	table    atomic.Pointer[router.Table]
	draining atomic.Bool
	chain    handler
	start    start
}

// New returns a gateway without a configuration, which holds no more bytes for
// callers than the memory allows.
func New(
	codec Codec, c Courier, p Placer, suspect Quarantine, jobs Jobs, memory *rationer.Rationer, counter Counter,
	logger *slog.Logger,
) *Gateway {
	g := &Gateway{
		codec: codec, courier: c, placer: p, suspect: suspect, jobs: jobs, memory: memory, counter: counter, logger: logger,
		pacer: pacer.New(), start: newStart(),
	}
	g.chain = g.drain(g.hold(g.configured(g.batch(g.decode(g.match(g.limit(g.quarantine(g.run))))))))
	return g
}

// SetTable puts a configuration into force.
func (g *Gateway) SetTable(t *router.Table) { g.table.Store(t) }

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *router.Table { return g.table.Load() }

// SetDraining makes the gateway end each connection with its next answer.
func (g *Gateway) SetDraining() { g.draining.Store(true) }

// exchange is one request on its way through the filters.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	table   *router.Table
	request Request
}

type handler func(x *exchange)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.chain(&exchange{w: w, r: r})
}

// drain tells callers of a VM that is about to end to open other connections.
func (g *Gateway) drain(next handler) handler {
	return func(x *exchange) {
		if g.draining.Load() {
			x.w.Header().Set("Connection", "close")
		}
		next(x)
	}
}

// configured refuses requests while the VM knows no configuration.
func (g *Gateway) configured(next handler) handler {
	return func(x *exchange) {
		x.table = g.table.Load()
		if x.table == nil {
			g.refuse(x, http.StatusServiceUnavailable, reasonUnconfigured)
			return
		}
		next(x)
	}
}

// batch hands calls of batch jobs on that are known by their path.
func (g *Gateway) batch(next handler) handler {
	return func(x *exchange) {
		if g.jobs.IsJobCall(x.r) {
			g.jobs.Serve(x.w, x.r, nil)
			return
		}
		next(x)
	}
}

// match finds the route.
func (g *Gateway) match(next handler) handler {
	return func(x *exchange) {
		route, found := x.table.Match(x.r.Host, x.r.URL.Path)
		if !found {
			g.refuse(x, http.StatusNotFound, reasonNoRoute)
			return
		}
		if route.Kind == router.KindBatch {
			g.jobs.Serve(x.w, x.r, route)
			return
		}
		x.request.route, x.request.version = route, x.table.Version()
		x.request.service = route.Service(xxhash.Sum64String(x.request.Call.ID))
		if route.Timeout > 0 {
			x.request.Deadline = earliest(x.request.Deadline, x.request.began.Add(route.Timeout))
		}
		next(x)
	}
}

// decode reads the head of the request.
func (g *Gateway) decode(next handler) handler {
	return func(x *exchange) {
		now := time.Now()
		var err error
		x.request, err = g.codec.DecodeCall(x.r, now)
		x.request.began = now
		if err != nil {
			g.logger.Warn("request not understood", "error", err, "path", x.r.URL.Path)
			g.refuse(x, http.StatusBadRequest, reasonMalformed)
			return
		}
		next(x)
	}
}

// limit reads the body, within the limit of the configuration.
func (g *Gateway) limit(next handler) handler {
	return func(x *exchange) {
		body, ration, err := ReadBody(x.w, x.r, x.table.Limits(), g.memory)
		defer ration.Release()
		var tooLarge *http.MaxBytesError
		switch {
		case errors.Is(err, ErrNoMemory):
			g.refuse(x, http.StatusServiceUnavailable, reasonNoMemory)
		case errors.As(err, &tooLarge):
			g.refuse(x, http.StatusRequestEntityTooLarge, reasonTooLarge)
		case err != nil:
			g.logger.Info("request body not received", "id", x.request.Call.ID, "error", err)
			g.refuse(x, http.StatusRequestTimeout, reasonBodyCut)
		default:
			x.request.Call.Body = body
			next(x)
		}
	}
}

// quarantine refuses requests that have crashed several upstreams.
func (g *Gateway) quarantine(next handler) handler {
	return func(x *exchange) {
		call := x.request.Call
		x.request.fingerprint = quarantiner.FingerprintOf(call.Host, call.URI, call.Body)
		if g.suspect.ShouldReject(x.request.fingerprint, time.Now()) {
			g.refuse(x, http.StatusBadGateway, reasonCondemned)
			return
		}
		next(x)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
