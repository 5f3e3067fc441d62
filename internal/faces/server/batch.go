package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/faces/failurewriter"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// outputPrefix starts the identifier of a job's results.
const outputPrefix = "out-"

const defaultWindow = 24 * time.Hour

// fileObject is an input file as callers see it.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Items     int    `json:"items"`
}

// batchRequest is the body of POST /v1/batches.
type batchRequest struct {
	InputFileID string `json:"input_file_id"`
	Endpoint    string `json:"endpoint"`
	// CompletionWindow is the time in which the job is due, such as 24h.
	CompletionWindow string `json:"completion_window"`
}

// batchObject is a job as callers see it.
type batchObject struct {
	ID            string          `json:"id"`
	Object        string          `json:"object"`
	Endpoint      string          `json:"endpoint"`
	InputFileID   string          `json:"input_file_id"`
	OutputFileID  string          `json:"output_file_id"`
	Status        jobkeeper.State `json:"status"`
	CreatedAt     int64           `json:"created_at"`
	ExpiresAt     int64           `json:"expires_at"`
	EndedAt       int64           `json:"ended_at,omitempty"`
	RequestCounts requestCounts   `json:"request_counts"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func batchOf(job jobkeeper.JobRow) batchObject {
	b := batchObject{
		ID: job.ID, Object: "batch", Endpoint: job.Endpoint, InputFileID: job.File,
		OutputFileID: outputPrefix + job.ID, Status: job.State,
		CreatedAt: job.Created.Unix(), ExpiresAt: job.Deadline.Unix(),
		RequestCounts: requestCounts{Total: job.Items, Completed: job.Completed, Failed: job.Failed},
	}
	if !job.Ended.IsZero() {
		b.EndedAt = job.Ended.Unix()
	}
	return b
}

// mayBatch refuses callers that may not submit jobs.
func mayBatch(caller deployer.Caller) *failurewriter.Failure {
	if !caller.Batch {
		return failurewriter.New(http.StatusForbidden, "noBatch", "this caller may not run batch jobs")
	}
	return nil
}

// uploadFile stores an input file as it comes in.
func (s *Server) uploadFile(r *restful.Request, w *restful.Response) {
	caller := callerOf(r)
	if failed := mayBatch(caller); failed != nil {
		failed.Write(w.ResponseWriter)
		return
	}
	parts, err := r.Request.MultipartReader()
	if err != nil {
		failurewriter.New(http.StatusBadRequest, "badBody", err.Error()).Write(w.ResponseWriter)
		return
	}
	for {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			failurewriter.New(http.StatusBadRequest, "badBody", "the form has no part named file").Write(w.ResponseWriter)
			return
		}
		if err != nil {
			failurewriter.New(http.StatusBadRequest, "badBody", err.Error()).Write(w.ResponseWriter)
			return
		}
		if part.FormName() != "file" {
			continue
		}
		id, file, err := s.jobs.PutFile(r.Request.Context(), caller.Name, part.FileName(), part, time.Now())
		if err != nil {
			failurewriter.FromJobError(err).Write(w.ResponseWriter)
			return
		}
		writeJSON(w.ResponseWriter, fileOf(id, file))
		return
	}
}

func fileOf(id string, file jobkeeper.FileRow) fileObject {
	return fileObject{
		ID: id, Object: "file", Bytes: file.Bytes, CreatedAt: file.Created.Unix(), Filename: file.Name,
		Purpose: "batch", Items: file.Items,
	}
}

func (s *Server) showFile(r *restful.Request, w *restful.Response) {
	id := r.PathParameter("file")
	file, err := s.jobs.File(r.Request.Context(), callerOf(r).Name, id)
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	writeJSON(w.ResponseWriter, fileOf(id, file))
}

// submitBatch accepts a job. A resend must carry the same Idempotency-Key; a
// request without one is a job of its own.
func (s *Server) submitBatch(r *restful.Request, w *restful.Response) {
	caller := callerOf(r)
	body, failed := readBody(r)
	if failed == nil {
		failed = mayBatch(caller)
	}
	if failed != nil {
		failed.Write(w.ResponseWriter)
		return
	}
	submission, failed := s.submission(r, caller, body)
	if failed != nil {
		failed.Write(w.ResponseWriter)
		return
	}
	job, err := s.jobs.Submit(r.Request.Context(), submission)
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	writeJSON(w.ResponseWriter, batchOf(job))
}

func (s *Server) submission(r *restful.Request, caller deployer.Caller, body []byte) (jobkeeper.Submission, *failurewriter.Failure) {
	var request batchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return jobkeeper.Submission{}, failurewriter.New(http.StatusBadRequest, "badBody", err.Error())
	}
	window := defaultWindow
	if request.CompletionWindow != "" {
		var err error
		window, err = time.ParseDuration(request.CompletionWindow)
		if err != nil || window <= 0 {
			return jobkeeper.Submission{}, failurewriter.New(http.StatusBadRequest, "badBody", "completion_window must be such as 24h")
		}
	}
	file, err := s.jobs.File(r.Request.Context(), caller.Name, request.InputFileID)
	if err != nil {
		return jobkeeper.Submission{}, failurewriter.FromJobError(err)
	}
	if _, failed := s.target(caller, file.Model, deployer.KindEngine); failed != nil {
		return jobkeeper.Submission{}, failed
	}
	if request.Endpoint != file.Endpoint {
		return jobkeeper.Submission{}, failurewriter.New(http.StatusBadRequest, "badBody", "endpoint differs from the file's items")
	}
	key := r.Request.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		key = uuid.NewString()
	}
	now := time.Now()
	return jobkeeper.Submission{
		Caller: caller.Name, Key: key, File: request.InputFileID, Endpoint: request.Endpoint,
		Deadline: now.Add(window), Body: body, Now: now,
	}, nil
}

func (s *Server) showBatch(r *restful.Request, w *restful.Response) {
	job, err := s.jobs.Job(r.Request.Context(), callerOf(r).Name, r.PathParameter("batch"))
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	writeJSON(w.ResponseWriter, batchOf(job))
}

// cancelBatch stops a job, and tells the fleet without waiting for its next
// look at the store.
func (s *Server) cancelBatch(r *restful.Request, w *restful.Response) {
	job, err := s.jobs.Cancel(r.Request.Context(), callerOf(r).Name, r.PathParameter("batch"), time.Now())
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	if job.State == jobkeeper.StateCancelled {
		s.announcer.JobCancelled(job.ID)
	}
	writeJSON(w.ResponseWriter, batchOf(job))
}

// readResults streams what has been committed of a job's results.
func (s *Server) readResults(r *restful.Request, w *restful.Response) {
	id, found := strings.CutPrefix(r.PathParameter("file"), outputPrefix)
	if !found {
		failurewriter.New(http.StatusNotFound, "notFound", "only results can be read").Write(w.ResponseWriter)
		return
	}
	ctx := r.Request.Context()
	job, err := s.jobs.Job(ctx, callerOf(r).Name, id)
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	control := http.NewResponseController(w.ResponseWriter)
	started := false
	err = s.jobs.Results(ctx, job, func(text []byte) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "application/jsonl")
			w.WriteHeader(http.StatusOK)
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every transport has one
		_, err := w.Write(text)
		return err
	})
	switch {
	case err != nil && !started:
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
	case err != nil:
		panic(http.ErrAbortHandler) // a cut connection tells that the results are not whole
	case !started:
		w.WriteHeader(http.StatusOK)
	}
}
