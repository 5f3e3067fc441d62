package server

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/emicklei/go-restful/v3"

	"github.com/fescuespindle/fescuespindle/internal/faces/failurewriter"
	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/servicecaller"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// forwardedHeaders are the request headers that are passed on to a service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// callService handles /services/{service}/{path}: a call that the deployment of the service
// declares.
func (s *Server) callService(r *restful.Request, w *restful.Response) {
	body, failure := readBody(r)
	if failure != nil {
		failure.Write(w.ResponseWriter)
		return
	}
	caller := callerOf(r)
	name := r.PathParameter("service")
	target, failure := s.findTarget(caller, name, deployer.KindService)
	if failure != nil {
		failure.Write(w.ResponseWriter)
		return
	}
	path := "/" + strings.TrimPrefix(r.PathParameter("path"), "/")
	declared, found := target.Deployment().FindCall(r.Request.Method, path)
	if !found {
		failurewriter.New(http.StatusNotFound, "unknownCall",
			r.Request.Method+" "+path+" is not a call of "+name).Write(w.ResponseWriter)
		return
	}
	call := servicecaller.Call{
		ID: requestIDOf(r), Caller: caller.Name, Weight: caller.Weight, Method: declared.Method,
		Path: pathWithQuery(path, r.Request.URL), Body: body, Header: selectForwardedHeaders(r.Request.Header),
		Deadline: deadlineOf(r), Repeatable: declared.Repeatable,
	}
	send := func(ctx context.Context) (relayer.Answer, error) { return s.services.Do(ctx, target.Lane(), call) }
	if declared.Repeatable {
		answer, err := send(r.Request.Context())
		writeServiceAnswer(w, answer, err)
		return
	}
	s.callOnce(r, w, claimer.Call{Caller: caller.Name, Service: name, Body: idempotentBody(call), Run: send})
}

// idempotentBody returns what a retry under the same key must repeat: method, path with
// query, and body.
func idempotentBody(call servicecaller.Call) []byte {
	return append([]byte(call.Method+" "+call.Path+"\n"), call.Body...)
}

// callOnce runs a call that may not be repeated, under the caller's idempotency key. The
// call continues if the caller disconnects, since its outcome has to be stored.
func (s *Server) callOnce(r *restful.Request, w *restful.Response, call claimer.Call) {
	call.Key = r.Request.Header.Get(HeaderIdempotencyKey)
	if call.Key == "" {
		failurewriter.New(http.StatusBadRequest, "keyNeeded",
			"this call may not be repeated and needs an "+HeaderIdempotencyKey+" header").Write(w.ResponseWriter)
		return
	}
	answer, err := s.claimer.Do(context.WithoutCancel(r.Request.Context()), call)
	if answer.Replayed() {
		w.Header().Set(HeaderReplayed, "true")
	}
	writeServiceAnswer(w, answer, err)
}

// serviceAnswer is the response of a service to this call or to an earlier one with the same
// key.
type serviceAnswer interface {
	Status() int
	ContentType() string
	Body() []byte
}

// writeServiceAnswer writes the service's response, or the Failure for an error.
func writeServiceAnswer(w *restful.Response, answer serviceAnswer, err error) {
	if err != nil {
		failurewriter.FromCallError(err).Write(w.ResponseWriter)
		return
	}
	if answer.ContentType() != "" {
		w.Header().Set("Content-Type", answer.ContentType())
	}
	w.WriteHeader(answer.Status())
	_, _ = w.Write(answer.Body())
}

// selectForwardedHeaders returns the forwardedHeaders that are present in a header.
func selectForwardedHeaders(from http.Header) http.Header {
	header := http.Header{}
	for _, key := range forwardedHeaders {
		if values := from.Values(key); len(values) > 0 {
			header[key] = values
		}
	}
	return header
}

func pathWithQuery(path string, u *url.URL) string {
	if u.RawQuery == "" {
		return path
	}
	return path + "?" + u.RawQuery
}
