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

// forwardedHeaders are the caller's headers that a service gets.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// callService answers a call of a plain service.
func (s *Server) callService(r *restful.Request, w *restful.Response) {
	body, failed := readBody(r)
	if failed != nil {
		failed.Write(w.ResponseWriter)
		return
	}
	caller := callerOf(r)
	name := r.PathParameter("service")
	target, failed := s.target(caller, name, deployer.KindService)
	if failed != nil {
		failed.Write(w.ResponseWriter)
		return
	}
	path := "/" + strings.TrimPrefix(r.PathParameter("path"), "/")
	declared, found := target.Deployment().FindCall(r.Request.Method, path)
	if !found {
		failurewriter.New(http.StatusNotFound, "unknownCall", r.Request.Method+" "+path+" is not a call of "+name).Write(w.ResponseWriter)
		return
	}
	call := servicecaller.Call{
		ID: idOf(r), Caller: caller.Name, Weight: caller.Weight, Method: declared.Method,
		Path: pathWithQuery(path, r.Request.URL), Body: body, Header: forwarded(r.Request.Header),
		Deadline: deadlineOf(r), Repeatable: declared.Repeatable,
	}
	send := func(ctx context.Context) (relayer.Answer, error) { return s.services.Do(ctx, target.Lane(), call) }
	if declared.Repeatable {
		answer, err := send(r.Request.Context())
		writeAnswer(w, answer, err)
		return
	}
	s.callOnce(r, w, claimer.Call{Caller: caller.Name, Service: name, Body: claimBody(call), Run: send})
}

// claimBody is what a resend under the same key must repeat.
func claimBody(call servicecaller.Call) []byte {
	return append([]byte(call.Method+" "+call.Path+"\n"), call.Body...)
}

// callOnce sends a call that may not be repeated, under the caller's key. The
// call goes on if the caller leaves, since its outcome must be kept.
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
	writeAnswer(w, answer, err)
}

// serviceAnswer is an answer of a service, now or earlier.
type serviceAnswer interface {
	Status() int
	ContentType() string
	Body() []byte
}

func writeAnswer(w *restful.Response, answer serviceAnswer, err error) {
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

func forwarded(from http.Header) http.Header {
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
