// Package server is the callers' HTTP interface of an entry VM, in the shape
// that client libraries for language models speak.
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
)

const (
	maxBodyBytes   = 4 << 20
	maxFileBytes   = 512 << 20
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	fileTimeout    = 10 * time.Minute
	writeTimeout   = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	onlineDeadline = time.Minute
)

// CancellationBroadcaster tells the fleet of a cancelled job.
type CancellationBroadcaster interface {
	JobCancelled(job string)
}

// Server serves callers.
type Server struct {
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Dispatcher
	services   *servicecaller.Caller
	claimer    *claimer.Claimer
	jobs       *jobkeeper.Keeper
	announcer  CancellationBroadcaster
	counters   *counter.Counters
	logger     *slog.Logger
	draining   atomic.Bool
	active     atomic.Int64
}

// New returns a server.
func New(
	views *publisher.Publisher, online *dispatcher.Dispatcher, services *servicecaller.Caller,
	claims *claimer.Claimer, jobs *jobkeeper.Keeper, announcer CancellationBroadcaster, counters *counter.Counters,
	logger *slog.Logger,
) *Server {
	return &Server{
		publisher: views, dispatcher: online, services: services, claimer: claims, jobs: jobs,
		announcer: announcer, counters: counters, logger: logger,
	}
}

// HTTP returns the listener's server.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Handler returns the chain of filters and the routes behind it.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.Filter(s.recoverFilter)
	container.Filter(s.requestIDFilter)
	container.Filter(s.drainFilter)
	container.Filter(s.readyFilter)
	container.Filter(s.authenticationFilter)
	container.Filter(s.limitFilter)
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

// SetDraining makes the server ask callers to use other connections.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Active returns the number of requests under way.
func (s *Server) Active() int { return int(s.active.Load()) }
