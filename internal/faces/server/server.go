// Package server implements the HTTP interface of an entry VM for callers. Its completion
// and batch API is the one that client libraries for language models use.
package server

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/faces/failurewriter"
	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/servicecaller"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
)

const (
	maxBodyBytes          = 4 << 20
	maxFileBytes          = 512 << 20
	readHeaderTimeout     = 5 * time.Second
	readBodyTimeout       = 30 * time.Second
	uploadTimeout         = 10 * time.Minute
	writeTimeout          = 10 * time.Second
	idleTimeout           = 2 * time.Minute
	defaultRequestTimeout = time.Minute
)

// CancellationBroadcaster informs the VMs of the fleet of a cancelled job.
type CancellationBroadcaster interface {
	JobCancelled(job string)
}

// Server handles the HTTP requests of callers.
type Server struct {
	publisher   *publisher.Publisher
	dispatcher  *dispatcher.Dispatcher
	services    *servicecaller.Caller
	claimer     *claimer.Claimer
	jobs        *jobkeeper.Keeper
	broadcaster CancellationBroadcaster
	counters    *counter.Counters
	logger      *slog.Logger
	draining    atomic.Pointer[drainer.Plan] // nil until Drain
	conns       *drainer.Conns
	active      atomic.Int64
}

// New returns a Server that isn't draining.
func New(
	publisher *publisher.Publisher, dispatcher *dispatcher.Dispatcher, services *servicecaller.Caller,
	claimer *claimer.Claimer, jobs *jobkeeper.Keeper, broadcaster CancellationBroadcaster, counters *counter.Counters,
	logger *slog.Logger,
) *Server {
	return &Server{
		publisher: publisher, dispatcher: dispatcher, services: services, claimer: claimer, jobs: jobs,
		broadcaster: broadcaster, counters: counters, logger: logger, conns: drainer.NewConns(),
	}
}

// HTTP returns an http.Server for the callers' listener, which bounds the heads of requests. Filters and handlers set
// the read and write deadlines, which differ by request.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ConnState: s.conns.Observe,
	}
}

// Handler returns the handler of all routes, behind the filters.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.Filter(s.recoverFilter)
	container.Filter(s.requestIDFilter)
	container.Filter(s.drainFilter)
	container.Filter(s.readinessFilter)
	container.Filter(s.authenticationFilter)
	container.Filter(s.bodyLimitFilter)
	container.Filter(s.deadlineFilter)
	container.Add(s.modelRoutes())
	container.Add(s.serviceRoutes())
	container.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, response *restful.Response) {
		failurewriter.New(e.Code, "noRoute", e.Message).Write(response.ResponseWriter)
	})
	return container
}

func (s *Server) modelRoutes() *restful.WebService {
	ws := new(restful.WebService).Path("/v1")
	ws.Route(ws.GET("/models").To(s.listModels))
	ws.Route(ws.POST("/chat/completions").To(s.complete))
	ws.Route(ws.POST("/completions").To(s.complete))
	ws.Route(ws.POST("/files").To(s.uploadFile))
	ws.Route(ws.GET("/files/{file}").To(s.showFile))
	ws.Route(ws.GET("/files/{file}/content").To(s.readResults))
	ws.Route(ws.POST("/batches").To(s.submitBatch))
	ws.Route(ws.GET("/batches/{batch}").To(s.showBatch))
	ws.Route(ws.POST("/batches/{batch}/cancel").To(s.cancelBatch))
	return ws
}

func (s *Server) serviceRoutes() *restful.WebService {
	ws := new(restful.WebService).Path("/services")
	const path = "/{service}/{path:*}"
	ws.Route(ws.GET(path).To(s.callService))
	ws.Route(ws.POST(path).To(s.callService))
	ws.Route(ws.PUT(path).To(s.callService))
	ws.Route(ws.DELETE(path).To(s.callService))
	return ws
}

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }
