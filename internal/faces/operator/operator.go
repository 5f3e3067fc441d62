// Package operator serves the operators' HTTP interface of an entry VM: health checks
// for the load balancer, metrics, and the configuration, state and recent requests of
// the VM for diagnosis.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fescuespindle/fescuespindle/internal/control/controller"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
)

// Paths of the operators' interface.
const (
	PathLive    = "/health/live"
	PathReady   = "/health/ready"
	PathMetrics = "/metrics"
	PathConfig  = "/config"
	PathState   = "/state"
	PathTrace   = "/debug/requests/"
)

// Headers of the answer to GET /config.
const (
	HeaderVersion = "X-Config-Version"
	HeaderDigest  = "X-Config-Digest"
)

const (
	headerTimeout = 5 * time.Second // to read the header of a request
	idleTimeout   = 2 * time.Minute // of a connection
	stateTimeout  = 2 * time.Second // for the control goroutine to return the state
)

// StateProvider returns the state of the VM.
type StateProvider interface {
	State(context.Context) (controller.StateSnapshot, error)
}

// Tracer returns the trace of a recent request, which shows why each upstream was
// chosen. It returns false if there is none with the identifier.
type Tracer interface {
	Trace(id string) (dispatcher.TraceText, bool)
}

// Operator serves the operators' interface.
type Operator struct {
	publisher     *publisher.Publisher
	stateProvider StateProvider
	tracer        Tracer
	counters      *counter.Counters
	profiling     bool
	draining      atomic.Bool
}

// Profiling is whether the pprof endpoints are served.
type Profiling bool

// New returns an Operator.
func New(
	publisher *publisher.Publisher, stateProvider StateProvider, tracer Tracer, counters *counter.Counters,
	profiling Profiling,
) *Operator {
	return &Operator{
		publisher: publisher, stateProvider: stateProvider, tracer: tracer, counters: counters, profiling: bool(profiling),
	}
}

// SetDraining makes the readiness check fail, so that the load balancer stops sending
// requests to the VM.
func (o *Operator) SetDraining() { o.draining.Store(true) }

// HTTP returns a server of the Handler, whose listener bounds the heads of requests.
func (o *Operator) HTTP() *http.Server {
	return &http.Server{Handler: o.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// Handler returns the handler of all paths of the interface.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLive, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.HandleFunc("GET "+PathReady, o.serveReady)
	mux.HandleFunc("GET "+PathMetrics, o.serveMetrics)
	mux.HandleFunc("GET "+PathConfig, o.serveConfig)
	mux.HandleFunc("GET "+PathState, o.serveState)
	mux.HandleFunc("GET "+PathTrace+"{id}", o.serveTrace)
	if o.profiling {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func (o *Operator) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := o.publisher.View().Ready()
	if o.draining.Load() {
		ready, reason = false, "draining"
	}
	if !ready {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (o *Operator) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	o.counters.Set().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (o *Operator) serveConfig(w http.ResponseWriter, _ *http.Request) {
	config := o.publisher.View().Config()
	if config.Version() == 0 {
		http.Error(w, "no configuration in force", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderVersion, formatVersion(config.Version()))
	w.Header().Set(HeaderDigest, config.Digest())
	_, _ = w.Write(config.Text())
}

func (o *Operator) serveState(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	state, err := o.stateProvider.State(ctx)
	if err != nil {
		http.Error(w, "the control goroutine doesn't answer: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, state)
}

func (o *Operator) serveTrace(w http.ResponseWriter, r *http.Request) {
	trace, found := o.tracer.Trace(r.PathValue("id"))
	if !found {
		http.Error(w, "no recent request with this identifier", http.StatusNotFound)
		return
	}
	writeJSON(w, trace)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // fails only if the client has disconnected
}
