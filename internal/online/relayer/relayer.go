// Package relayer sends one attempt of a request to one upstream and checks
// that what comes back is the whole answer to that attempt.
package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

const (
	dialTimeout      = 500 * time.Millisecond
	idlePerUpstream  = 256
	idleTimeout      = 30 * time.Second
	maxRefusalBytes  = 4 << 10
	maxAnswerBytes   = 16 << 20
	writeBufferBytes = 8 << 10
)

// Attempt is one try of a request at one upstream.
type Attempt struct {
	// ID identifies the attempt; no other attempt ever has the same.
	ID       string
	Address  string
	Method   string
	Path     string
	Body     []byte
	Header   http.Header
	Deadline time.Time
}

// Relayer has the connections to upstreams.
type Relayer struct {
	shared *http.Client
	single *http.Client
}

// New returns a relayer. The dial function opens connections; nil means TCP.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Relayer {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	shared := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idlePerUpstream, IdleConnTimeout: idleTimeout,
		DisableCompression: true, WriteBufferSize: writeBufferBytes,
	}
	// A connection that was never used before can't deliver another request's
	// answer, and net/http never replays a request on one.
	single := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &Relayer{shared: &http.Client{Transport: shared}, single: &http.Client{Transport: single}}
}

// Close closes idle connections.
func (r *Relayer) Close() {
	r.shared.CloseIdleConnections()
	r.single.CloseIdleConnections()
}

// onceReader hides the type of the body, so that net/http can't rewind and
// replay it.
type onceReader struct{ io.Reader }

func (a Attempt) request(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path,
		onceReader{bytes.NewReader(a.Body)})
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.ContentLength = int64(len(a.Body))
	if len(a.Body) == 0 {
		request.Body = nil
	}
	for key, values := range a.Header {
		request.Header[key] = values
	}
	request.Header.Set(upstream.HeaderRequestID, a.ID)
	if !a.Deadline.IsZero() {
		request.Header.Set(upstream.HeaderDeadline, a.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

// Open sends an attempt and returns its stream of events.
func (r *Relayer) Open(ctx context.Context, a Attempt) (*Stream, error) {
	response, err := r.send(ctx, r.shared, a)
	if err != nil {
		return nil, err
	}
	return &Stream{id: a.ID, body: response.Body, events: eventsplitter.New(response.Body), prefix: idPrefix(a.ID)}, nil
}

// Answer is a whole answer of a plain service.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the type of the body.
func (a Answer) ContentType() string { return a.header.Get("Content-Type") }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Call sends an attempt to a plain service and returns its whole answer. An
// attempt that may run only once gets a connection of its own.
func (r *Relayer) Call(ctx context.Context, a Attempt, repeatable bool) (Answer, error) {
	client := r.single
	if repeatable {
		client = r.shared
	}
	response, err := r.send(ctx, client, a)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, &AttemptError{ran: RanMaybe, crash: true, cause: fmt.Errorf("%w: %v", ErrTruncated, err)} //nolint:errorlint // io.EOF means a whole stream here
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, &AttemptError{ran: RanFailed, cause: errors.New("answer too long")}
	}
	if id := response.Header.Get(upstream.HeaderRequestID); id != "" && id != a.ID {
		return Answer{}, &AttemptError{ran: RanMaybe, cause: ErrCrossed}
	}
	return Answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

func (r *Relayer) send(ctx context.Context, client *http.Client, a Attempt) (*http.Response, error) {
	request, err := a.request(ctx)
	if err != nil {
		return nil, &AttemptError{ran: RanNot, cause: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, failureOfSend(err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	notRun := response.Header.Get(upstream.HeaderNotRun) != ""
	leaving := response.Header.Get(upstream.HeaderLeaving) != ""
	return nil, failureOfStatus(response.StatusCode, notRun, leaving, string(bytes.TrimSpace(text)))
}

// Stream is the answer of an engine, event by event.
type Stream struct {
	id     string
	prefix []byte
	body   io.ReadCloser
	events *eventsplitter.Splitter
	ended  bool
}

// Next returns the data of the next event. It returns io.EOF after the end
// mark; a stream that stops without it is a AttemptError that wraps ErrCut.
func (s *Stream) Next() ([]byte, error) {
	if s.ended {
		return nil, io.EOF
	}
	data, err := s.events.NextData()
	if err != nil {
		// The end of the connection must not look like the end of the answer, so
		// io.EOF is not wrapped.
		return nil, &AttemptError{ran: RanMaybe, crash: true, cause: fmt.Errorf("%w: %v", ErrTruncated, err)} //nolint:errorlint // see above
	}
	if string(data) == upstream.EndOfStream {
		s.ended = true
		return nil, io.EOF
	}
	if !s.owns(data) {
		return nil, &AttemptError{ran: RanMaybe, cause: ErrCrossed}
	}
	return data, nil
}

// Close ends the stream; an engine stops generating when its reader is gone. A
// stream that was read to its end leaves the connection for others.
func (s *Stream) Close() {
	if s.ended {
		_, _ = io.CopyN(io.Discard, s.body, maxRefusalBytes)
	}
	_ = s.body.Close()
}

func idPrefix(id string) []byte {
	quoted, _ := json.Marshal(id)
	return append([]byte(`{"id":`), quoted...)
}

// owns tells whether an event carries the identifier of this attempt. Engines
// put it first, which saves parsing every event.
func (s *Stream) owns(data []byte) bool {
	if bytes.HasPrefix(data, s.prefix) {
		return true
	}
	var event struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &event) == nil && event.ID == s.id
}
