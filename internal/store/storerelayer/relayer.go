// Package storerelayer reaches the store through other VMs while it turns this
// one away, or the way to it is cut.
//
// A store may refuse some VMs and serve the others. What such a VM has to write,
// a result or a job that a caller hands in, needn't wait for that to end.
package storerelayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// relayTime is how long all calls go through other VMs before one of them tries
	// the direct way again.
	relayTime = 1500 * time.Millisecond
	// outage is how long no other VM is asked after one that doesn't reach the
	// store either.
	outage = 700 * time.Millisecond
	// maxPeers bounds the other VMs that are asked for one call.
	maxPeers = 3
	// skipTime is how long a VM that doesn't reach the store is not asked again.
	skipTime = 1500 * time.Millisecond
	// awayRefusals is the number of direct calls in a row that must be refused
	// before other calls are relayed at once. One that gets no answer is
	// enough, since each costs its whole timeout.
	awayRefusals = 2
	maxBody      = 2 << 20
	// headerRelayed marks a call that comes from another VM, or an answer of the
	// store that another VM hands back.
	headerRelayed = "Fescuespindle-Relayed"
)

// errNoPeer means that no other VM reaches the store.
var errNoPeer = errors.New("no other VM reaches the store")

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Relayer is an http.RoundTripper to the store, and a handler for other VMs.
type Relayer struct {
	address string // of the store
	direct  http.RoundTripper
	peer    http.RoundTripper
	counter Counter
	logger  *slog.Logger

	mu       sync.Mutex
	near     []string // addresses of other VMs
	far      []string // and of those in other regions
	skipped  map[string]time.Time
	refusals int  // direct calls in a row that were turned away
	away     bool // so many that all calls go through other VMs
	probeAt  time.Time
	probing  bool
	outageTo time.Time
}

var (
	_ http.RoundTripper = (*Relayer)(nil)
	_ http.Handler      = (*Relayer)(nil)
)

// New returns a relayer to the store at an address. The transports reach the
// store and other VMs.
func New(address string, direct, peer http.RoundTripper, counter Counter, logger *slog.Logger) *Relayer {
	return &Relayer{
		address: address, direct: direct, peer: peer, counter: counter, logger: logger,
		skipped: map[string]time.Time{},
	}
}

// SetPeers replaces the addresses at which other VMs relay calls. Those in other
// regions are asked only if none in the same one reaches the store.
func (r *Relayer) SetPeers(near, far []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.near, r.far = near, far
}

// RoundTrip implements http.RoundTripper. It sends a call again by another way
// only if it surely was not done, or does nothing but read.
func (r *Relayer) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := readBody(request)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if r.relaysFirst(now) {
		response, err := r.throughPeers(request, body)
		if !errors.Is(err, errNoPeer) {
			return response, err
		}
		r.noteOutage(now)
	}
	response, err := r.direct.RoundTrip(copyOf(request, body))
	if !r.turnedAway(response, err) {
		r.noteDirect()
		return response, err
	}
	if errors.Is(request.Context().Err(), context.Canceled) {
		r.endProbe()
		return response, err // given up by the caller, which says nothing of the store
	}
	r.noteTurnedAway(response, err)
	if (err != nil && !mayRepeat(request, err)) || !r.hasPeers(time.Now()) {
		return response, err
	}
	relayed, relayErr := r.throughPeers(request, body)
	if errors.Is(relayErr, errNoPeer) {
		r.noteOutage(time.Now())
		return response, err
	}
	if response != nil {
		_ = response.Body.Close()
	}
	return relayed, relayErr
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, fmt.Errorf("read call: %w", err)
	}
	return body, nil
}

// copyOf returns a call that can be sent once.
func copyOf(request *http.Request, body []byte) *http.Request {
	again := request.Clone(request.Context())
	again.Body, again.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	if len(body) == 0 {
		again.Body = http.NoBody
	}
	again.ContentLength = int64(len(body))
	return again
}

// turnedAway tells whether an outcome says that the store doesn't serve this VM.
func (r *Relayer) turnedAway(response *http.Response, err error) bool {
	return err != nil || response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests
}

// mayRepeat tells whether a call that failed may be sent again.
func mayRepeat(request *http.Request, err error) bool {
	return notSent(err) || (request.Method == http.MethodGet && request.Context().Err() == nil)
}

// notSent tells whether an error means that a call surely had no effect.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// relaysFirst tells whether a call goes through other VMs. While the direct way
// is closed, one call at a time finds out whether it still is.
func (r *Relayer) relaysFirst(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.away || now.Before(r.outageTo) || len(r.near)+len(r.far) == 0 {
		return false
	}
	if now.Before(r.probeAt) || r.probing {
		return true
	}
	r.probing = true
	return false
}

// endProbe lets another call try the direct way.
func (r *Relayer) endProbe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = false
}

// hasPeers tells whether other VMs can be asked.
func (r *Relayer) hasPeers(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.outageTo) && len(r.near)+len(r.far) > 0
}

func (r *Relayer) noteDirect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		r.logger.Info("store reached directly again")
	}
	r.refusals, r.away, r.probing = 0, false, false
}

func (r *Relayer) noteTurnedAway(response *http.Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
	if err != nil {
		r.refusals = awayRefusals
	}
	r.probing, r.probeAt = false, time.Now().Add(relayTime)
	if r.refusals < awayRefusals {
		return
	}
	if !r.away {
		status := 0
		if response != nil {
			status = response.StatusCode
		}
		r.logger.Warn("store turns this VM away, other VMs are asked", "status", status, "error", err)
	}
	r.away = true
}

func (r *Relayer) noteOutage(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outageTo = now.Add(outage)
}

// throughPeers sends a call through other VMs until one of them reaches the
// store.
func (r *Relayer) throughPeers(request *http.Request, body []byte) (*http.Response, error) {
	for _, address := range r.somePeers() {
		call := copyOf(request, body)
		call.URL.Host, call.Host = address, r.address
		call.Header.Set(headerRelayed, "1")
		response, err := r.peer.RoundTrip(call)
		if err != nil && errors.Is(request.Context().Err(), context.Canceled) {
			return nil, err //nolint:wrapcheck // given up, which says nothing of the other VM
		}
		if err != nil {
			r.skip(address)
			if mayRepeat(request, err) {
				continue
			}
			return nil, err //nolint:wrapcheck // the store's client tells the kinds apart
		}
		if r.missed(request, response) {
			r.skip(address)
			_ = response.Body.Close()
			continue
		}
		r.counter.Count("store_calls_relayed_total")
		return response, nil
	}
	return nil, errNoPeer
}

// missed tells whether an answer says that the store was not reached, and the
// call may be sent again.
func (r *Relayer) missed(request *http.Request, response *http.Response) bool {
	lostRead := request.Method == http.MethodGet && response.StatusCode == http.StatusBadGateway
	return response.Header.Get(headerRelayed) == "" || r.turnedAway(response, nil) || lostRead
}

// skip notes that another VM doesn't reach the store.
func (r *Relayer) skip(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped[address] = time.Now().Add(skipTime)
}

// somePeers returns other VMs to ask.
func (r *Relayer) somePeers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if some := r.available(r.near); len(some) > 0 {
		return some
	}
	return r.available(r.far)
}

// available returns some VMs that are not skipped, from a random one on.
func (r *Relayer) available(addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	first, now := rand.IntN(len(addresses)), time.Now()
	some := make([]string, 0, maxPeers)
	for i := range addresses {
		address := addresses[(first+i)%len(addresses)]
		if now.After(r.skipped[address]) && len(some) < maxPeers {
			some = append(some, address)
		}
	}
	return some
}

// ServeHTTP sends another VM's call to the store, directly only.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Header.Get(headerRelayed) == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable) // not sent on
		return
	}
	call, err := http.NewRequestWithContext(request.Context(), request.Method,
		"http://"+r.address+request.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call.Header.Set("Content-Type", request.Header.Get("Content-Type"))
	response, err := r.direct.RoundTrip(call)
	switch {
	case err != nil && notSent(err):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.Header().Set(headerRelayed, "1")
		w.WriteHeader(http.StatusBadGateway) // it may have been done
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set(headerRelayed, "1")
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler) // the answer must not look whole
	}
}
