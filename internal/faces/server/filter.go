package server

import (
	"errors"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/fescuespindle/fescuespindle/internal/faces/failurewriter"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// Attributes that filters leave for handlers.
const (
	attributeCaller   = "caller"
	attributeID       = "requestId"
	attributeDeadline = "deadline"
)

const maxRequestID = 128

func callerOf(r *restful.Request) deployer.Caller {
	caller, _ := r.Attribute(attributeCaller).(deployer.Caller)
	return caller
}

func idOf(r *restful.Request) string {
	id, _ := r.Attribute(attributeID).(string)
	return id
}

func deadlineOf(r *restful.Request) time.Time {
	deadline, _ := r.Attribute(attributeDeadline).(time.Time)
	return deadline
}

// recoverFilter answers for a handler that panics.
func (s *Server) recoverFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	s.active.Add(1)
	defer s.active.Add(-1)
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(reason)
		}
		s.counters.Count("panics_total")
		s.logger.Error("handler panicked", "reason", reason, "stack", string(debug.Stack()))
		f := failurewriter.New(http.StatusInternalServerError, "internal", "internal error", failurewriter.WithRan(relayer.RanMaybe))
		f.Write(w.ResponseWriter)
	}()
	chain.ProcessFilter(r, w)
}

// requestIDFilter gives each request an identifier: the caller's, if it is
// fit, with a part of its own so that no two requests share one.
func (s *Server) requestIDFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	id := uuid.NewString()
	own := r.Request.Header.Get(HeaderRequestID)
	if isPlain(own) {
		id = own + "." + id[:8]
	}
	r.SetAttribute(attributeID, id)
	w.Header().Set(HeaderRequestID, id)
	chain.ProcessFilter(r, w)
}

func isPlain(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("-_.", c) && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// drainFilter makes callers leave a VM that is shutting down: each answer
// closes its connection.
func (s *Server) drainFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	chain.ProcessFilter(r, w)
}

// readyFilter refuses requests while no configuration is in force.
func (s *Server) readyFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	ready, reason := s.publisher.View().Ready()
	if !ready {
		comeBack := failurewriter.WithRetryAt(time.Now().Add(failurewriter.RetryDelay))
		failurewriter.New(http.StatusServiceUnavailable, "notReady", reason, comeBack).Write(w.ResponseWriter)
		return
	}
	chain.ProcessFilter(r, w)
}

// authenticationFilter lets only configured callers pass.
func (s *Server) authenticationFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	token, found := strings.CutPrefix(r.Request.Header.Get("Authorization"), "Bearer ")
	caller, known := s.publisher.View().Caller(token)
	if !found || !known {
		s.counters.Count(`refusals_total{reason="unauthorized"}`)
		w.Header().Set("WWW-Authenticate", "Bearer")
		failurewriter.New(http.StatusUnauthorized, "unauthorized", "a configured bearer token is needed").Write(w.ResponseWriter)
		return
	}
	r.SetAttribute(attributeCaller, caller)
	chain.ProcessFilter(r, w)
}

// limitFilter bounds the size of a body and the time that it may take.
func (s *Server) limitFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	limit, timeout := int64(maxBodyBytes), bodyTimeout
	if strings.HasSuffix(r.Request.URL.Path, "/v1/files") {
		limit, timeout = maxFileBytes, fileTimeout
	}
	r.Request.Body = http.MaxBytesReader(w.ResponseWriter, r.Request.Body, limit)
	control := http.NewResponseController(w.ResponseWriter)
	_ = control.SetReadDeadline(time.Now().Add(timeout)) // not every transport has one
	chain.ProcessFilter(r, w)
}

// deadlineFilter reads the caller's deadline and refuses work that can't make
// it.
func (s *Server) deadlineFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	now := time.Now()
	deadline := now.Add(onlineDeadline)
	if text := r.Request.Header.Get(HeaderDeadline); text != "" {
		asked, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			failurewriter.New(http.StatusBadRequest, "badDeadline", HeaderDeadline+" must be RFC 3339 text").Write(w.ResponseWriter)
			return
		}
		if !now.Before(asked) {
			s.counters.Count(`refusals_total{reason="deadline"}`)
			failurewriter.New(http.StatusGatewayTimeout, "deadline", "the deadline has passed").Write(w.ResponseWriter)
			return
		}
		deadline = asked
	}
	r.SetAttribute(attributeDeadline, deadline)
	chain.ProcessFilter(r, w)
}
