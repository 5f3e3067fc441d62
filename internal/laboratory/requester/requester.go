// Package requester is a client of the callers' HTTP interface, for the command
// line, the load generator and tests.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/faces/server"
	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// ErrTruncated is returned for a successful response whose body is incomplete or
// can't be decoded.
var ErrTruncated = errors.New("answer cut short")

// RejectedError is a response with a status other than success.
type RejectedError struct {
	status     int
	ran        string
	code       string
	message    string
	retryAfter string // the Retry-After header
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("status %d (%s, %s): %s", e.status, e.code, e.ran, e.message)
}

// Status returns the HTTP status.
func (e *RejectedError) Status() int { return e.status }

// Ran returns the value of the header that says whether the request ran.
func (e *RejectedError) Ran() string { return e.ran }

// Code returns the error code in the response's body.
func (e *RejectedError) Code() string { return e.code }

// RetryAfter returns the value of the Retry-After header.
func (e *RejectedError) RetryAfter() string { return e.retryAfter }

// Requester is a client that sends one bearer token.
type Requester struct {
	base   string
	token  string
	client *http.Client
}

// New returns a client of an entry VM or of a load balancer at a base URL.
func New(base, token string, client *http.Client) *Requester {
	return &Requester{base: strings.TrimSuffix(base, "/"), token: token, client: client}
}

// Completion is the answer to a completion request, with its timing.
type Completion struct {
	id         string
	text       string
	firstToken time.Time
	lastToken  time.Time
	usage      upstream.Usage
}

// ID returns the request ID, by which operators find its trace.
func (c Completion) ID() string { return c.id }

// Text returns the complete text.
func (c Completion) Text() string { return c.text }

// FirstToken returns the time at which the first token arrived.
func (c Completion) FirstToken() time.Time { return c.firstToken }

// LastToken returns the time at which the last token arrived.
func (c Completion) LastToken() time.Time { return c.lastToken }

// Usage returns the token counts.
func (c Completion) Usage() upstream.Usage { return c.usage }

// Complete sends a streaming chat completion request and reads the complete answer.
// It returns ErrTruncated if the stream ends before its end marker, and a
// *RejectedError for an unsuccessful status.
func (r *Requester) Complete(ctx context.Context, model, prompt string, tokens int) (Completion, error) {
	body, err := json.Marshal(upstream.Completion{
		Model: model, MaxTokens: tokens, Stream: true,
		Messages: []upstream.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return Completion{}, fmt.Errorf("encode request: %w", err)
	}
	response, err := r.do(ctx, http.MethodPost, "/v1/chat/completions", "application/json", "", bytes.NewReader(body))
	if err != nil {
		return Completion{}, err
	}
	defer func() { _ = response.Body.Close() }()
	completion := Completion{id: response.Header.Get(server.HeaderRequestID)}
	return completion, completion.read(response.Body)
}

func (c *Completion) read(body io.Reader) error {
	events := eventsplitter.New(body)
	var text strings.Builder
	for {
		data, err := events.NextData()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		if string(data) == upstream.EndOfStream {
			c.text = text.String()
			return nil
		}
		var chunk upstream.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
			return fmt.Errorf("%w: %s", ErrTruncated, data)
		}
		c.addChunk(chunk, &text)
	}
}

func (c *Completion) addChunk(chunk upstream.Chunk, text *strings.Builder) {
	if chunk.Usage != nil {
		c.usage = *chunk.Usage
	}
	delta := chunk.Choices[0].Delta
	if delta == nil || delta.Content == "" {
		return
	}
	c.lastToken = time.Now()
	if c.firstToken.IsZero() {
		c.firstToken = c.lastToken
	}
	text.WriteString(delta.Content)
}

// Call sends a call to a plain service and returns the body of the response. An
// empty key means no Idempotency-Key header.
func (r *Requester) Call(ctx context.Context, method, service, path, key string, body []byte) ([]byte, error) {
	response, err := r.do(ctx, method, "/services/"+service+path, "application/json", key, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return text, nil
}

// File is an uploaded file.
type File struct {
	ID    string `json:"id"`
	Items int    `json:"items"`
}

// Upload stores an input file of batch items.
func (r *Requester) Upload(ctx context.Context, name string, content io.Reader) (File, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	_ = writer.WriteField("purpose", "batch") // writes to a bytes.Buffer can't fail
	part, err := writer.CreateFormFile("file", name)
	if err != nil {
		return File{}, fmt.Errorf("upload: %w", err)
	}
	if _, err := io.Copy(part, content); err != nil {
		return File{}, fmt.Errorf("upload: %w", err)
	}
	_ = writer.Close() // writes to a bytes.Buffer can't fail
	var file File
	err = r.json(ctx, http.MethodPost, "/v1/files", writer.FormDataContentType(), "", &form, &file)
	return file, err
}

// Batch is a batch job.
type Batch struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Submit submits a batch job under an idempotency key.
func (r *Requester) Submit(ctx context.Context, file, endpoint, window, key string) (Batch, error) {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":%q}`, file, endpoint, window)
	var batch Batch
	err := r.json(ctx, http.MethodPost, "/v1/batches", "application/json", key, strings.NewReader(body), &batch)
	return batch, err
}

// Status returns the current state of a job.
func (r *Requester) Status(ctx context.Context, id string) (Batch, error) {
	var batch Batch
	err := r.json(ctx, http.MethodGet, "/v1/batches/"+id, "", "", nil, &batch)
	return batch, err
}

// Cancel cancels a job and returns its state.
func (r *Requester) Cancel(ctx context.Context, id string) (Batch, error) {
	var batch Batch
	err := r.json(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", "", "", nil, &batch)
	return batch, err
}

// Results copies a job's committed results to a writer.
func (r *Requester) Results(ctx context.Context, id string, to io.Writer) error {
	response, err := r.do(ctx, http.MethodGet, "/v1/files/out-"+id+"/content", "", "", nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(to, response.Body); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

func (r *Requester) json(ctx context.Context, method, path, contentType, key string, body io.Reader, out any) error {
	response, err := r.do(ctx, method, path, contentType, key, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

func (r *Requester) do(
	ctx context.Context, method, path, contentType, key string, body io.Reader,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, r.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+r.token)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	if key != "" {
		request.Header.Set(server.HeaderIdempotencyKey, key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(server.HeaderDeadline, deadline.UTC().Format(time.RFC3339Nano))
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, newRejectedError(response)
}

// newRejectedError reads a response with an unsuccessful status. A body that isn't
// JSON becomes the message.
func newRejectedError(response *http.Response) error {
	const maxBodyBytes = 64 << 10
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &body) != nil {
		body.Error.Message = string(text)
	}
	return &RejectedError{
		status: response.StatusCode, ran: response.Header.Get(server.HeaderRan), code: body.Error.Code,
		message: body.Error.Message, retryAfter: response.Header.Get("Retry-After"),
	}
}
