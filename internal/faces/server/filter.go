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

// Request attributes that filters set for handlers.
const (
	attributeCaller    = "caller"
	attributeRequestID = "requestId"
	attributeDeadline  = "deadline"
)

const maxRequestIDLength = 128

// callerOf returns the authenticated caller.
func callerOf(r *restful.Request) deployer.Caller {
	caller, _ := r.Attribute(attributeCaller).(deployer.Caller)
	return caller
}

// requestIDOf returns the ID that requestIDFilter has assigned.
func requestIDOf(r *restful.Request) string {
	id, _ := r.Attribute(attributeRequestID).(string)
	return id
}

// deadlineOf returns the deadline that deadlineFilter has set.
func deadlineOf(r *restful.Request) time.Time {
	deadline, _ := r.Attribute(attributeDeadline).(time.Time)
	return deadline
}

// recoverFilter counts active requests and answers with status 500 if a handler panics. It
// lets http.ErrAbortHandler through, with which handlers abort the connection.
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
		failure := failurewriter.New(http.StatusInternalServerError, "internal", "internal error",
			failurewriter.WithRan(relayer.RanMaybe))
		failure.Write(w.ResponseWriter)
	}()
	chain.ProcessFilter(r, w)
}

// requestIDFilter assigns each request an ID and returns it in the response header. A valid
// ID of the caller gets a random suffix, so that no two requests share an ID.
func (s *Server) requestIDFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	id := uuid.NewString()
	callerID := r.Request.Header.Get(HeaderRequestID)
	if isValidRequestID(callerID) {
		id = callerID + "." + id[:8]
	}
	r.SetAttribute(attributeRequestID, id)
	w.Header().Set(HeaderRequestID, id)
	chain.ProcessFilter(r, w)
}

// isValidRequestID returns whether an ID from a caller has 1 to maxRequestIDLength bytes and
// only ASCII letters, digits, hyphens, underscores and dots.
func isValidRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("-_.", c) && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// readinessFilter rejects requests while the VM has no view from which it can serve them.
func (s *Server) readinessFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	ready, reason := s.publisher.View().Ready()
	if !ready {
		retryAt := failurewriter.WithRetryAt(time.Now().Add(failurewriter.RetryDelay))
		failurewriter.New(http.StatusServiceUnavailable, "notReady", reason, retryAt).Write(w.ResponseWriter)
		return
	}
	chain.ProcessFilter(r, w)
}

// authenticationFilter rejects requests without the bearer token of a configured caller.
func (s *Server) authenticationFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	token, found := strings.CutPrefix(r.Request.Header.Get("Authorization"), "Bearer ")
	caller, known := s.publisher.View().Caller(token)
	if !found || !known {
		s.counters.Count(`refusals_total{reason="unauthorized"}`)
		w.Header().Set("WWW-Authenticate", "Bearer")
		failurewriter.New(http.StatusUnauthorized, "unauthorized",
			"a configured bearer token is needed").Write(w.ResponseWriter)
		return
	}
	r.SetAttribute(attributeCaller, caller)
	chain.ProcessFilter(r, w)
}

// bodyLimitFilter limits the size of the request body and the time to read it. File uploads
// have larger limits.
func (s *Server) bodyLimitFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	limit, timeout := int64(maxBodyBytes), readBodyTimeout
	if strings.HasSuffix(r.Request.URL.Path, "/v1/files") {
		limit, timeout = maxFileBytes, uploadTimeout
	}
	r.Request.Body = http.MaxBytesReader(w.ResponseWriter, r.Request.Body, limit)
	controller := http.NewResponseController(w.ResponseWriter)
	_ = controller.SetReadDeadline(time.Now().Add(timeout)) // not every ResponseWriter supports deadlines
	chain.ProcessFilter(r, w)
}

// deadlineFilter sets the deadline of a request: the caller's, or defaultRequestTimeout from
// now. It rejects requests whose deadline has passed, or that may not end before the VM does.
func (s *Server) deadlineFilter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	now := time.Now()
	deadline := now.Add(defaultRequestTimeout)
	if text := r.Request.Header.Get(HeaderDeadline); text != "" {
		requested, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			failurewriter.New(http.StatusBadRequest, "badDeadline",
				HeaderDeadline+" must be RFC 3339 text").Write(w.ResponseWriter)
			return
		}
		if !now.Before(requested) {
			s.counters.Count(`refusals_total{reason="deadline"}`)
			failurewriter.New(http.StatusGatewayTimeout, "deadline", "the deadline has passed").Write(w.ResponseWriter)
			return
		}
		deadline = requested
	}
	if s.draining.Load().IsTooLate(deadline, now) {
		s.counters.Count(`refusals_total{reason="stopping"}`)
		w.Header().Set("Connection", "close")
		retryAt := failurewriter.WithRetryAt(now.Add(failurewriter.RetryDelay))
		failurewriter.New(http.StatusServiceUnavailable, "stopping", "this VM is shutting down", retryAt).Write(w.ResponseWriter)
		return
	}
	r.SetAttribute(attributeDeadline, deadline)
	chain.ProcessFilter(r, w)
}
