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

// outputFilePrefix precedes the job ID in the ID of a job's output file.
const outputFilePrefix = "out-"

const defaultCompletionWindow = 24 * time.Hour

// fileObject is the JSON representation of an input file. CreatedAt is in Unix seconds.
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
	// CompletionWindow is the time from submission to the job's deadline, as a Go
	// duration such as 24h. Empty means defaultCompletionWindow.
	CompletionWindow string `json:"completion_window"`
}

// batchObject is the JSON representation of a batch job. Its times are in Unix seconds.
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

// requestCounts are the numbers of a job's items.
type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// newBatchObject converts a stored job to its JSON representation.
func newBatchObject(job jobkeeper.JobRow) batchObject {
	b := batchObject{
		ID: job.ID, Object: "batch", Endpoint: job.Endpoint, InputFileID: job.File,
		OutputFileID: outputFilePrefix + job.ID, Status: job.State,
		CreatedAt: job.Created.Unix(), ExpiresAt: job.Deadline.Unix(),
		RequestCounts: requestCounts{Total: job.Items, Completed: job.Completed, Failed: job.Failed},
	}
	if !job.Ended.IsZero() {
		b.EndedAt = job.Ended.Unix()
	}
	return b
}

// checkBatchPermission returns a Failure if the caller may not run batch jobs, else nil.
func checkBatchPermission(caller deployer.Caller) *failurewriter.Failure {
	if !caller.Batch {
		return failurewriter.New(http.StatusForbidden, "noBatch", "this caller may not run batch jobs")
	}
	return nil
}

// uploadFile handles POST /v1/files: it stores the form's part named file while receiving it.
func (s *Server) uploadFile(r *restful.Request, w *restful.Response) {
	caller := callerOf(r)
	if failure := checkBatchPermission(caller); failure != nil {
		failure.Write(w.ResponseWriter)
		return
	}
	form, err := r.Request.MultipartReader()
	if err != nil {
		failurewriter.New(http.StatusBadRequest, "badBody", err.Error()).Write(w.ResponseWriter)
		return
	}
	for {
		part, err := form.NextPart()
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
		writeJSON(w.ResponseWriter, newFileObject(id, file))
		return
	}
}

// newFileObject converts a stored input file to its JSON representation.
func newFileObject(id string, file jobkeeper.FileRow) fileObject {
	return fileObject{
		ID: id, Object: "file", Bytes: file.Bytes, CreatedAt: file.Created.Unix(), Filename: file.Name,
		Purpose: "batch", Items: file.Items,
	}
}

// showFile handles GET /v1/files/{file}.
func (s *Server) showFile(r *restful.Request, w *restful.Response) {
	id := r.PathParameter("file")
	file, err := s.jobs.File(r.Request.Context(), callerOf(r).Name, id)
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	writeJSON(w.ResponseWriter, newFileObject(id, file))
}

// submitBatch handles POST /v1/batches. A retry must send the same Idempotency-Key as the
// first request, since each request without the header creates a new job.
func (s *Server) submitBatch(r *restful.Request, w *restful.Response) {
	caller := callerOf(r)
	body, failure := readBody(r)
	if failure == nil {
		failure = checkBatchPermission(caller)
	}
	if failure != nil {
		failure.Write(w.ResponseWriter)
		return
	}
	submission, failure := s.parseSubmission(r, caller, body)
	if failure != nil {
		failure.Write(w.ResponseWriter)
		return
	}
	job, err := s.jobs.Submit(r.Request.Context(), submission)
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	writeJSON(w.ResponseWriter, newBatchObject(job))
}

// parseSubmission validates the body of a batch submission against the input file and the
// caller's permissions.
func (s *Server) parseSubmission(
	r *restful.Request, caller deployer.Caller, body []byte,
) (jobkeeper.Submission, *failurewriter.Failure) {
	var request batchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return jobkeeper.Submission{}, failurewriter.New(http.StatusBadRequest, "badBody", err.Error())
	}
	window := defaultCompletionWindow
	if request.CompletionWindow != "" {
		var err error
		window, err = time.ParseDuration(request.CompletionWindow)
		if err != nil || window <= 0 {
			return jobkeeper.Submission{}, failurewriter.New(
				http.StatusBadRequest, "badBody", "completion_window must be such as 24h",
			)
		}
	}
	file, err := s.jobs.File(r.Request.Context(), caller.Name, request.InputFileID)
	if err != nil {
		return jobkeeper.Submission{}, failurewriter.FromJobError(err)
	}
	if _, failure := s.findTarget(caller, file.Model, deployer.KindEngine); failure != nil {
		return jobkeeper.Submission{}, failure
	}
	if request.Endpoint != file.Endpoint {
		return jobkeeper.Submission{}, failurewriter.New(
			http.StatusBadRequest, "badBody", "endpoint differs from the file's items",
		)
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

// showBatch handles GET /v1/batches/{batch}.
func (s *Server) showBatch(r *restful.Request, w *restful.Response) {
	job, err := s.jobs.Job(r.Request.Context(), callerOf(r).Name, r.PathParameter("batch"))
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	writeJSON(w.ResponseWriter, newBatchObject(job))
}

// cancelBatch handles POST /v1/batches/{batch}/cancel. It broadcasts the cancellation, so
// that other VMs don't learn of it only from their next scan of the store.
func (s *Server) cancelBatch(r *restful.Request, w *restful.Response) {
	job, err := s.jobs.Cancel(r.Request.Context(), callerOf(r).Name, r.PathParameter("batch"), time.Now())
	if err != nil {
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
		return
	}
	if job.State == jobkeeper.StateCancelled {
		s.broadcaster.JobCancelled(job.ID)
	}
	writeJSON(w.ResponseWriter, newBatchObject(job))
}

// readResults handles GET /v1/files/{file}/content: it streams the committed results of a
// job, which may still be running.
func (s *Server) readResults(r *restful.Request, w *restful.Response) {
	id, found := strings.CutPrefix(r.PathParameter("file"), outputFilePrefix)
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
	controller := http.NewResponseController(w.ResponseWriter)
	headerSent := false
	err = s.jobs.Results(ctx, job, func(data []byte) error {
		if !headerSent {
			headerSent = true
			w.Header().Set("Content-Type", "application/jsonl")
			w.WriteHeader(http.StatusOK)
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every ResponseWriter supports deadlines
		_, err := w.Write(data)
		return err
	})
	switch {
	case err != nil && !headerSent:
		failurewriter.FromJobError(err).Write(w.ResponseWriter)
	case err != nil:
		panic(http.ErrAbortHandler) // the aborted connection shows the caller that the results are incomplete
	case !headerSent:
		w.WriteHeader(http.StatusOK)
	}
}
