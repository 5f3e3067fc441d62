// Package forwarder sends one request to one upstream over a new or reused connection,
// and ensures that the answer it returns belongs to that request.
//
// It manages its own connections instead of using net/http's client, for three
// reasons. The client retries some requests by itself, but a request that may run only
// once must not be retried. An upstream may send a second answer to an earlier
// request, which the client would take for the answer to the next one. And the client
// runs two goroutines for each connection, which is costly on VMs with less than one
// core.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/requestwriter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/socketdialer"
)

const (
	dialTimeout = 700 * time.Millisecond
	// quietTime is how long a request may get no answer, and nothing else may come from its
	// address, until the link to it is suspected.
	quietTime    = 250 * time.Millisecond
	overloadTime = time.Second
	// maxInlineBodyBytes is the largest body that is written before the answer is
	// read. A larger one is written concurrently: otherwise the upstream could block
	// on writing its answer while the VM blocks on writing the body.
	maxInlineBodyBytes = 32 << 10
	// defaultHeadMemory bounds the memory for long heads unless there is a budget.
	defaultHeadMemory = 16 << 20
	// headBytesHint is the size of most requests' heads.
	headBytesHint = 1024
	// maxAnswersPerExchange bounds the answers that are read in search of the matching
	// one, interim (1xx) answers included. maxStaleBodyBytes bounds the body of each
	// answer that is discarded.
	maxAnswersPerExchange = 4
	maxStaleBodyBytes     = 1 << 20
)

// ErrNoMatchingAnswer means that a connection delivered no answer with the request's
// identifier.
var ErrNoMatchingAnswer = errors.New("no matching answer")

// Attempt is a single transmission of a request to one upstream.
type Attempt struct {
	// Request has everything but the body. Its target is URL.Opaque.
	Request *http.Request
	// Body must not be changed, even after Send: a long one is still being written then.
	Body []byte
	// ID is the identifier that the answer must carry.
	ID      string
	Address string
}

// IDExtractor returns the identifier of the request that an answer belongs to, or ""
// if its header has none.
type IDExtractor func(http.Header) string

// Forwarder sends requests and pools the connections to upstreams. It is safe for
// concurrent use.
type Forwarder struct {
	extractID IDExtractor
	dial      relayer.Dial
	onQuiet   func(address string)
	memory    *rationer.Rationer
	writers   sync.WaitGroup
	restBytes atomic.Int64 // of bodies that are still written after their answers were closed
	linkInput atomic.Int64 // when bytes last came over this VM's own links, as Unix nanoseconds

	mu     sync.Mutex
	idle   map[string][]*connection // by address, most recently used last
	inputs map[string]*atomic.Int64 // when bytes last came from an address, as Unix nanoseconds
	// idleLimit bounds the idle connections to one address.
	idleLimit int
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithDial replaces the default TCP dialer.
func WithDial(dial relayer.Dial) Option {
	return func(f *Forwarder) { f.dial = dial }
}

// WithMemory sets the budget from which memory for long heads of answers is reserved.
func WithMemory(budget *rationer.Rationer) Option {
	return func(f *Forwarder) { f.memory = budget }
}

// WithOnQuiet sets a function that is called when a request over a reused connection gets no
// answer, and nothing else comes from the address either, so that the link to it may be lost. It
// must not block.
func WithOnQuiet(onQuiet func(address string)) Option {
	return func(f *Forwarder) { f.onQuiet = onQuiet }
}

// New returns a forwarder that matches answers to requests by the given identifier.
func New(extractID IDExtractor, options ...Option) *Forwarder {
	f := &Forwarder{
		extractID: extractID, dial: socketdialer.New(dialTimeout).DialContext, onQuiet: func(string) {},
		idle: map[string][]*connection{}, inputs: map[string]*atomic.Int64{}, idleLimit: defaultIdleLimit,
		memory: rationer.New(defaultHeadMemory),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Refuses returns whether an address refuses connections, as that of a process that has
// ended does. One that can't be reached doesn't refuse.
func (f *Forwarder) Refuses(ctx context.Context, address string) bool {
	return relayer.Refuses(ctx, f.dial, address)
}

// Close waits for writes of large bodies to end, and closes idle connections.
func (f *Forwarder) Close() {
	f.writers.Wait() // they may leave idle connections
	f.mu.Lock()
	for _, connections := range f.idle {
		for _, c := range connections {
			_ = c.net.Close()
		}
	}
	clear(f.idle)
	f.mu.Unlock()
}

// Send sends an attempt and returns once the head of its answer was read. Errors are
// of type relayer.AttemptError and say whether the request may have run.
func (f *Forwarder) Send(ctx context.Context, a Attempt) (*Answer, error) {
	c, err := f.connect(ctx, a.Address, a.ID)
	if err != nil {
		return nil, relayer.NewAttemptError(relayer.RanNot, fmt.Errorf("%w: %w", relayer.ErrUnreachable, err))
	}
	answer := &Answer{forwarder: f, connection: c, ctx: ctx}
	answer.stopCancelHook = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	if ctx.Err() != nil { // an idle connection could still be written to
		answer.abort()
		return nil, relayer.NewAttemptError(relayer.RanNot, fmt.Errorf("not sent: %w", context.Cause(ctx)))
	}
	if err := f.exchange(answer, a); err != nil {
		answer.abort()
		return nil, err
	}
	return answer, nil
}

// exchange writes the request and reads the head of its answer. A large body is
// written by another goroutine.
func (f *Forwarder) exchange(answer *Answer, a Attempt) error {
	c := answer.connection
	head, tail, err := encode(a)
	if err != nil {
		return relayer.NewAttemptError(relayer.RanNot, err)
	}
	c.recordCarried(a.ID)
	if _, err := c.net.Write(head); err != nil {
		return connectionLost(err)
	}
	if len(tail) > 0 {
		answer.bodyWritten, answer.longBodyBytes = make(chan error, 1), int64(len(tail))
		f.writers.Go(func() {
			_, err := c.net.Write(tail)
			answer.bodyWritten <- err
		})
	}
	if c.used {
		quietTimer := f.startQuietTimer(c)
		defer quietTimer.Stop()
	}
	response, err := f.readMatching(c, a)
	if err != nil {
		return connectionLost(err)
	}
	answer.reused, c.used = c.used, true
	answer.response = response
	return nil
}

// startQuietTimer starts a timer that calls onQuiet if a request gets no answer over a connection, and
// nothing else comes from its address: within quietTime if this VM's links bring nothing at all, otherwise
// within overloadTime, as an upstream with long queues is quiet too.
func (f *Forwarder) startQuietTimer(c *connection) *time.Timer {
	began := time.Now()
	isSilent := func(lastInput *atomic.Int64) bool { return lastInput.Load() < began.UnixNano() }
	var mu sync.Mutex // guards timer, as it may fire before it is assigned
	mu.Lock()
	defer mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(quietTime, func() {
		mu.Lock()
		defer mu.Unlock()
		switch waited := time.Since(began); {
		case !isSilent(c.limiter.lastInput):
		case isSilent(&f.linkInput) || waited >= overloadTime:
			f.onQuiet(c.address)
		default:
			timer.Reset(overloadTime - waited)
		}
	})
	return timer
}

// lastInput returns the record of when bytes last came from an address.
func (f *Forwarder) lastInput(address string) *atomic.Int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, found := f.inputs[address]
	if !found {
		last = &atomic.Int64{}
		f.inputs[address] = last
	}
	return last
}

// encode serializes a request. If the body is larger than maxInlineBodyBytes, head
// ends before the body and tail is the body; otherwise head has both and tail is nil.
func encode(a Attempt) (head, tail []byte, err error) {
	inline, tail := a.Body, []byte(nil)
	if len(a.Body) > maxInlineBodyBytes {
		inline, tail = nil, a.Body
	}
	head, err = requestwriter.Append(make([]byte, 0, headBytesHint+len(inline)), a.Request, len(a.Body))
	if err != nil {
		return nil, nil, fmt.Errorf("encode request: %w", err)
	}
	return append(head, inline...), tail, nil
}

// readMatching reads answers until one carries the attempt's identifier, and discards
// the others: a reused connection may still deliver a late second answer to an earlier
// request. On a new connection, an answer without an identifier matches too.
func (f *Forwarder) readMatching(c *connection, a Attempt) (*http.Response, error) {
	c.limiter.reset()
	for range maxAnswersPerExchange {
		response, err := c.readHead(a.Request)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := f.extractID(response.Header)
		if id == a.ID || (id == "" && !c.used) {
			return response, nil
		}
		if err := discardStale(response); err != nil {
			return nil, err
		}
	}
	return nil, ErrNoMatchingAnswer
}

// readHead reads the head of one answer, within the limiter's bound.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.limiter.readingHead = true
	defer func() { c.limiter.readingHead = false }()
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err //nolint:wrapcheck // readMatching wraps it
	}
	if err := headvalidator.Validate(response); err != nil {
		return nil, err //nolint:wrapcheck // readMatching wraps it
	}
	return response, nil
}

// discardStale reads the body of an answer to another request. It returns an error if
// the connection can't be used further.
func discardStale(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoMatchingAnswer, err)
	}
	if n == maxStaleBodyBytes || response.Close {
		return ErrNoMatchingAnswer
	}
	return nil
}

// connectionLost returns the error for a request whose bytes may have reached the
// upstream.
func connectionLost(err error) error {
	return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", relayer.ErrConnectionLost, err))
}
