// Package forwarder sends one request to one upstream over a connection that
// may have been used before, and makes sure that what comes back is the answer
// to that request.
//
// It keeps its own connections instead of using net/http's client for three
// reasons. The client sends some requests again by itself, while a request that
// may run only once must not be. An upstream may send a second answer to an
// earlier request, which the client would take for the answer to the next one.
// And the client runs two goroutines for each connection, on VMs with less than
// a core.
package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

const (
	dialTimeout = 700 * time.Millisecond
	// inlineBody is the size up to which a body is written before the answer is
	// read; with a larger one, upstream and VM could wait for each other.
	inlineBody = 32 << 10
	// maxStale bounds the answers to earlier requests that are skipped, and
	// their bytes.
	maxStale      = 4
	maxStaleBytes = 1 << 20
)

// ErrStale means that a connection delivered answers to other requests only.
var ErrStale = errors.New("answers of other requests")

// Attempt is one send of a request.
type Attempt struct {
	// Request has all but the body.
	Request *http.Request
	Body    []byte
	// ID is what the answer must carry.
	ID      string
	Address string
}

// Identifier returns the identifier of the request that an answer belongs to,
// or "" if it carries none.
type Identifier func(http.Header) string

// Forwarder has the connections to upstreams.
type Forwarder struct {
	identify Identifier
	dial     Dial
	group    sync.WaitGroup

	mu   sync.Mutex
	idle map[string][]*connection // by address, the newest last
	// idleLimit bounds those of one address.
	idleLimit int
}

// Dial opens connections.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option sets one property of a Forwarder.
type Option func(*Forwarder)

// WithDial sets how connections are opened; the default is TCP.
func WithDial(dial Dial) Option {
	return func(f *Forwarder) { f.dial = dial }
}

// New returns a forwarder.
func New(identify Identifier, options ...Option) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	f := &Forwarder{
		identify: identify, dial: dialer.DialContext, idle: map[string][]*connection{}, idleLimit: defaultIdleLimit,
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Close closes idle connections and waits for writes under way.
func (f *Forwarder) Close() {
	f.mu.Lock()
	for _, connections := range f.idle {
		for _, c := range connections {
			_ = c.net.Close()
		}
	}
	clear(f.idle)
	f.mu.Unlock()
	f.group.Wait()
}

// Send sends an attempt and returns the head of its answer. Errors are
// relayer.AttemptErrors that tell whether the request may have run.
func (f *Forwarder) Send(ctx context.Context, a Attempt) (*Answer, error) {
	c, err := f.connect(ctx, a.Address)
	if err != nil {
		return nil, relayer.NewAttemptError(relayer.RanNot, fmt.Errorf("%w: %w", relayer.ErrUnreachable, err))
	}
	answer := &Answer{forwarder: f, connection: c, ctx: ctx}
	answer.detach = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	if err := f.exchange(answer, a); err != nil {
		answer.abort()
		return nil, err
	}
	return answer, nil
}

// exchange writes the request and reads the head of its answer.
func (f *Forwarder) exchange(answer *Answer, a Attempt) error {
	c := answer.connection
	head, tail, err := encode(a)
	if err != nil {
		return relayer.NewAttemptError(relayer.RanNot, err)
	}
	if _, err := c.net.Write(head); err != nil {
		return lost(err)
	}
	if len(tail) > 0 {
		answer.written = make(chan error, 1)
		f.group.Go(func() {
			_, err := c.net.Write(tail)
			answer.written <- err
		})
	}
	response, err := f.readOwn(c, a)
	if err != nil {
		return lost(err)
	}
	c.used = true
	answer.response = response
	return nil
}

// encode returns the bytes of a request; a large body's are apart.
func encode(a Attempt) (head, tail []byte, err error) {
	var buffer bytes.Buffer
	request := a.Request
	request.ContentLength = int64(len(a.Body))
	request.Body = http.NoBody
	if len(a.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	buffer.Grow(1024 + len(a.Body))
	if err := request.Write(&buffer); err != nil {
		return nil, nil, fmt.Errorf("encode request: %w", err)
	}
	all := buffer.Bytes()
	if len(a.Body) <= inlineBody {
		return all, nil, nil
	}
	cut := len(all) - len(a.Body)
	return all[:cut], all[cut:], nil
}

// readOwn reads answers until one carries the attempt's identifier. A used
// connection may still deliver a late second answer to an earlier request.
func (f *Forwarder) readOwn(c *connection, a Attempt) (*http.Response, error) {
	c.limiter.begin()
	for range maxStale {
		response, err := c.readHead(a.Request)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := f.identify(response.Header)
		if id == a.ID || (id == "" && !c.used) {
			return response, nil
		}
		if err := skip(response); err != nil {
			return nil, err
		}
	}
	return nil, ErrStale
}

// readHead reads the head of one answer.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.limiter.reading = true
	defer func() { c.limiter.reading = false }()
	return http.ReadResponse(c.reader, request) //nolint:wrapcheck // readOwn does
}

func skip(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStale, err)
	}
	if n == maxStaleBytes || response.Close {
		return ErrStale
	}
	return nil
}

// lost returns the failure of a request whose bytes may have reached the
// upstream.
func lost(err error) error {
	return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", relayer.ErrLost, err))
}

// Answer is the answer to one attempt.
type Answer struct {
	forwarder  *Forwarder
	connection *connection
	ctx        context.Context //nolint:containedctx // ends with the attempt, not with a call
	detach     func() bool
	response   *http.Response
	written    chan error // the end of a large body's write; nil for others
	whole      bool
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the header.
func (a *Answer) Header() http.Header { return a.response.Header }

// Length returns the length of the body, or -1 if it isn't known.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Close ends the answer. Its connection is kept for other requests if the body
// was read to its end.
func (a *Answer) Close() {
	reusable := a.whole && !a.response.Close && a.connection.reader.Buffered() == 0 && a.sent()
	if !a.detach() || !reusable {
		a.abort()
		return
	}
	a.forwarder.keep(a.connection, a.response.Header)
}

// sent tells whether the whole request was written. An upstream may answer
// before it has read a long body; it then still has to get the rest.
func (a *Answer) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	case <-a.ctx.Done():
		return false
	}
}

func (a *Answer) abort() {
	a.detach()
	_ = a.connection.net.Close()
}

// connection is one connection to an upstream.
type connection struct {
	net     net.Conn
	address string
	limiter *headLimiter
	reader  *bufio.Reader // reads from the limiter
	used    bool
	expires time.Time
}
