// Package relayer sends one attempt of a request to one upstream and verifies that it
// receives the complete answer to that attempt.
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
	"net/http/httptrace"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
)

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdlePerUpstream = 256
	idleTimeout        = 30 * time.Second
	// maxRejectionBytes bounds the body of a rejection that is added to an error, and the
	// bytes that are read after a stream's end marker to make its connection reusable.
	maxRejectionBytes = 4 << 10
	// maxAnswerBytes bounds the body of a plain service's answer.
	maxAnswerBytes = 16 << 20
	// defaultMemoryBytes bounds the long answers and events that are read at the same time unless there
	// is a budget.
	defaultMemoryBytes = 128 << 20
	writeBufferBytes   = 8 << 10
)

// errAnswerTooLong means that the answer of a plain service has more than maxAnswerBytes.
var errAnswerTooLong = errors.New("answer too long")

// Attempt is a single transmission of a request to one upstream.
type Attempt struct {
	// ID identifies the attempt. It must be globally unique.
	ID       string
	Address  string
	Method   string
	Path     string
	Body     []byte
	Header   http.Header
	Deadline time.Time // zero means no deadline
}

// Relayer sends attempts and holds the HTTP connections to upstreams.
type Relayer struct {
	dial      Dial
	pooled    *http.Client
	singleUse *http.Client
	mayPool   func(address string) bool
	memory    *rationer.Rationer
}

// Option sets one property of a Relayer.
type Option func(*Relayer)

// WithMayPool sets a function that returns whether a connection to an address may be kept for
// further requests.
func WithMayPool(mayPool func(address string) bool) Option {
	return func(r *Relayer) { r.mayPool = mayPool }
}

// WithMemory sets the budget from which memory for plain answers and long events is reserved while they
// are read.
func WithMemory(budget *rationer.Rationer) Option {
	return func(r *Relayer) { r.memory = budget }
}

// New returns a relayer that opens connections with dial, or over TCP if dial is nil.
func New(dial Dial, options ...Option) *Relayer {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	pooled := transporter.New(transporter.DialFunc(dial))
	pooled.MaxIdleConnsPerHost, pooled.IdleConnTimeout = maxIdlePerUpstream, idleTimeout
	pooled.WriteBufferSize = writeBufferBytes
	// A new connection can't deliver another request's answer, and net/http never
	// retries a request on one.
	singleUse := transporter.New(transporter.DialFunc(dial))
	singleUse.DisableKeepAlives = true
	r := &Relayer{
		dial: dial, pooled: newClient(pooled), singleUse: newClient(singleUse),
		mayPool: func(string) bool { return true }, memory: rationer.New(defaultMemoryBytes),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// newClient returns a client that follows no redirect: the request that it would send is not the caller's.
func newClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes idle connections.
func (r *Relayer) CloseIdle() {
	r.pooled.CloseIdleConnections()
	r.singleUse.CloseIdleConnections()
}

// nonReplayableReader hides the concrete type of the body, so that net/http can't
// rewind it and retry the request.
type nonReplayableReader struct{ io.Reader }

// request builds the HTTP request of an attempt.
func (a Attempt) request(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path,
		nonReplayableReader{bytes.NewReader(a.Body)})
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

// Open sends an attempt and returns its event stream, which must be closed. Errors are of
// type AttemptError.
func (r *Relayer) Open(ctx context.Context, a Attempt) (*Stream, error) {
	response, err := r.send(ctx, r.client(a.Address), a)
	if err != nil {
		return nil, err
	}
	return &Stream{
		id: a.ID, body: response.Body, idPrefix: eventIDPrefix(a.ID),
		events: eventsplitter.New(response.Body, eventsplitter.WithMemory(r.memory)),
	}, nil
}

// client returns the client for an address.
func (r *Relayer) client(address string) *http.Client {
	if r.mayPool(address) {
		return r.pooled
	}
	return r.singleUse
}

// Answer is the complete answer of a plain service.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status code.
func (a Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a Answer) ContentType() string { return a.header.Get("Content-Type") }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Call sends an attempt to a plain service and returns its complete answer. An attempt
// that is not repeatable gets a new connection. Errors are of type AttemptError.
func (r *Relayer) Call(ctx context.Context, a Attempt, repeatable bool) (Answer, error) {
	client := r.singleUse
	if repeatable {
		client = r.client(a.Address)
	}
	response, err := r.send(ctx, client, a)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	length := response.ContentLength
	if a.Method == http.MethodHead {
		length = 0 // the length is that of the body that another method gets
	}
	if length > maxAnswerBytes {
		return Answer{}, &AttemptError{ran: RanFailed, cause: errAnswerTooLong}
	}
	reservation := r.memory.NewReservation()
	defer reservation.Release()
	body, err := reservation.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1), length)
	if errors.Is(err, rationer.ErrExhausted) {
		return Answer{}, &AttemptError{ran: RanMaybe, cause: err}
	}
	if err == nil && headvalidator.IsUnframed(response) && (len(body) == 0 || Refuses(ctx, r.dial, a.Address)) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return Answer{}, &AttemptError{
			ran: RanMaybe, mayHaveCrashed: true,
			cause: fmt.Errorf("%w: %v", ErrTruncated, err), //nolint:errorlint // io.EOF would mean a complete stream
		}
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, &AttemptError{ran: RanFailed, cause: errAnswerTooLong}
	}
	if id := response.Header.Get(upstream.HeaderRequestID); id != "" && id != a.ID {
		return Answer{}, &AttemptError{ran: RanMaybe, cause: ErrMismatchedAnswer}
	}
	return Answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// send sends an attempt and returns its answer if the status is below 300. The body
// of any other answer is part of the error, up to maxRejectionBytes.
func (r *Relayer) send(ctx context.Context, client *http.Client, a Attempt) (*http.Response, error) {
	request, err := a.request(ctx)
	if err != nil {
		return nil, &AttemptError{ran: RanNot, cause: err}
	}
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, classifySendError(err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	if !isRejectionOf(a, response, reused) {
		return nil, &AttemptError{ran: RanMaybe, cause: ErrMismatchedAnswer}
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	notRun := response.Header.Get(upstream.HeaderNotRun) != ""
	draining := response.Header.Get(upstream.HeaderLeaving) != ""
	return nil, classifyStatus(response.StatusCode, notRun, draining, string(bytes.TrimSpace(text)))
}

// isRejectionOf returns whether an error answer belongs to an attempt. On a reused connection an
// upstream may repeat its answer to an earlier request, and a rejection that counts for a
// request that runs would let it run twice. So one without an ID counts on a new connection only.
func isRejectionOf(a Attempt, response *http.Response, reused bool) bool {
	id := response.Header.Get(upstream.HeaderRequestID)
	return id == a.ID || (id == "" && !reused)
}

// Stream is the event stream that an engine sends for one attempt.
type Stream struct {
	id       string
	idPrefix []byte
	body     io.ReadCloser
	events   *eventsplitter.Splitter
	ended    bool
}

// Next returns the data of the next event. It returns io.EOF after the end marker. A
// stream that ends without the marker gives an AttemptError that wraps ErrTruncated.
func (s *Stream) Next() ([]byte, error) {
	if s.ended {
		return nil, io.EOF
	}
	data, err := s.events.NextData()
	if err != nil {
		// io.EOF is not wrapped: the end of the connection must not look like the end
		// of the answer.
		return nil, &AttemptError{
			ran: RanMaybe, mayHaveCrashed: !errors.Is(err, eventsplitter.ErrNoMemory),
			cause: fmt.Errorf("%w: %v", ErrTruncated, err), //nolint:errorlint // see above
		}
	}
	if string(data) == upstream.EndOfStream {
		s.ended = true
		return nil, io.EOF
	}
	if !s.matchesID(data) {
		return nil, &AttemptError{ran: RanMaybe, cause: ErrMismatchedAnswer}
	}
	return data, nil
}

// Close ends the stream. An engine stops generating when its reader disconnects. The
// connection of a stream that was read to its end can be reused.
func (s *Stream) Close() {
	if s.ended {
		_, _ = io.CopyN(io.Discard, s.body, maxRejectionBytes)
	}
	_ = s.body.Close()
	s.events.Close()
}

// eventIDPrefix returns how an event that carries the identifier usually begins.
func eventIDPrefix(id string) []byte {
	quoted, _ := json.Marshal(id)
	return append([]byte(`{"id":`), quoted...)
}

// matchesID returns whether an event carries this attempt's identifier. Engines put it
// first, so that a comparison of the prefix usually avoids parsing the event.
func (s *Stream) matchesID(data []byte) bool {
	if bytes.HasPrefix(data, s.idPrefix) {
		return true
	}
	var event struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &event) == nil && event.ID == s.id
}
