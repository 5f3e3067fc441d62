// Package storerelayer sends store calls through peer VMs while the store rejects direct
// calls of this VM or is unreachable from it.
//
// A store may reject some VMs and serve others. Relaying lets an affected VM keep
// writing results and accepting jobs from callers during that time.
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

	"github.com/fescuespindle/fescuespindle/internal/plumbing/bodyloader"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// directProbeDelay is how long all calls are relayed after a failed direct call before
	// one of them probes the direct path again.
	directProbeDelay = 1500 * time.Millisecond
	// peerOutagePause is how long no call is relayed after no peer VM could reach the store.
	peerOutagePause = 700 * time.Millisecond
	// maxPeers bounds the peer VMs that are tried for one call.
	maxPeers = 3
	// peerSkipPeriod is how long a peer VM that failed to reach the store is not tried again.
	peerSkipPeriod = 1500 * time.Millisecond
	// relayAllThreshold is the number of consecutive rejected direct calls after which
	// all calls are relayed. A single call without a response is enough, since each such
	// call costs its full timeout.
	relayAllThreshold = 2
	// maxBodyBytes bounds the body of a call that this VM relays for a peer VM.
	maxBodyBytes = 2 << 20
	// defaultMemoryBytes bounds the bodies of all such calls. It is not part of the memory for callers, so
	// that VMs whose callers use that up still relay.
	defaultMemoryBytes = 8 << 20
	// headerRelayed marks a request relayed by a peer VM, and a response that a peer VM
	// relays from the store.
	headerRelayed = "Fescuespindle-Relayed"
)

// errNoReachablePeer reports that no peer VM could reach the store.
var errNoReachablePeer = errors.New("no peer VM can reach the store")

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Relayer is an http.RoundTripper to the store and an http.Handler that serves relayed
// calls of peer VMs. It is safe for concurrent use.
type Relayer struct {
	address string // of the store
	direct  http.RoundTripper
	peer    http.RoundTripper
	counter Counter
	logger  *slog.Logger
	memory  *rationer.Rationer

	mu              sync.Mutex
	local           []string // addresses of peer VMs in the same region
	remote          []string // addresses of peer VMs in other regions
	skippedUntil    map[string]time.Time
	failures        int  // consecutive direct calls that failed
	relayAll        bool // whether calls are relayed without trying the direct path first
	nextProbeAt     time.Time
	probing         bool
	arrivedAt       time.Time // when something of an answer to a direct call last arrived
	peerOutageUntil time.Time
}

var (
	_ http.RoundTripper = (*Relayer)(nil)
	_ http.Handler      = (*Relayer)(nil)
)

// Option configures a Relayer.
type Option func(*Relayer)

// WithMemory sets the budget from which memory for the bodies of peer VMs' calls is reserved.
func WithMemory(budget *rationer.Rationer) Option {
	return func(r *Relayer) { r.memory = budget }
}

// New returns a Relayer to the store at an address (host:port). The direct transport
// reaches the store and the peer transport reaches peer VMs.
func New(
	address string, direct, peer http.RoundTripper, counter Counter, logger *slog.Logger, options ...Option,
) *Relayer {
	r := &Relayer{
		address: address, direct: direct, peer: peer, counter: counter, logger: logger,
		skippedUntil: map[string]time.Time{}, memory: rationer.New(defaultMemoryBytes),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// SetPeers replaces the addresses of the peer VMs that relay calls. Remote peers, in other
// regions, are tried only if all local ones were recently unable to reach the store.
func (r *Relayer) SetPeers(local, remote []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local, r.remote = local, remote
}

// RoundTrip implements http.RoundTripper. After a failure it resends a call by another
// path only if the call had no effect or is a read.
func (r *Relayer) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := readBody(request)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if r.shouldRelay(now) {
		response, err := r.relayToPeers(request, body)
		if !errors.Is(err, errNoReachablePeer) {
			return response, err
		}
		r.recordPeerOutage(now)
	}
	began := time.Now()
	response, err := r.direct.RoundTrip(cloneRequest(request, body))
	if !r.isRejected(response, err) {
		r.recordDirectSuccess()
		return r.observeArrival(response), nil
	}
	if isCanceled(request) {
		r.endProbe()
		return response, err // canceled by the caller, which says nothing about the store
	}
	r.recordDirectFailure(response, err, began)
	if (err != nil && !mayRetry(request, err)) || !r.hasPeers(time.Now()) {
		return response, err
	}
	relayed, relayErr := r.relayToPeers(request, body)
	if errors.Is(relayErr, errNoReachablePeer) {
		r.recordPeerOutage(time.Now())
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
		return nil, fmt.Errorf("read request body: %w", err)
	}
	return body, nil
}

// cloneRequest returns a copy of a request that can be sent once.
func cloneRequest(request *http.Request, body []byte) *http.Request {
	clone := request.Clone(request.Context())
	clone.Body, clone.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	if len(body) == 0 {
		clone.Body = http.NoBody
	}
	clone.ContentLength = int64(len(body))
	return clone
}

// isRejected returns whether an outcome means that the store doesn't serve the VM that
// called it: an error, status 503 or status 429.
func (r *Relayer) isRejected(response *http.Response, err error) bool {
	return err != nil || response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests
}

// isCanceled returns whether a caller has canceled a call for another reason than a deadline
// that the call has missed.
func isCanceled(request *http.Request) bool {
	ctx := request.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// mayRetry returns whether a failed call may be sent again: it was not sent or is a read, and
// its context has not ended.
func mayRetry(request *http.Request, err error) bool {
	return request.Context().Err() == nil && (notSent(err) || request.Method == http.MethodGet)
}

// notSent returns whether an error means that the call was not sent and had no effect.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// shouldRelay returns whether a call is relayed without trying the direct path first.
// Once directProbeDelay has passed, it lets one call at a time probe the direct path.
func (r *Relayer) shouldRelay(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.relayAll || now.Before(r.peerOutageUntil) || len(r.local)+len(r.remote) == 0 {
		return false
	}
	if now.Before(r.nextProbeAt) || r.probing {
		return true
	}
	r.probing = true
	return false
}

// endProbe allows another call to probe the direct path.
func (r *Relayer) endProbe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = false
}

// hasPeers returns whether there are peer VMs and relaying is not paused.
func (r *Relayer) hasPeers(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.peerOutageUntil) && len(r.local)+len(r.remote) > 0
}

// recordDirectSuccess makes all calls use the direct path again.
func (r *Relayer) recordDirectSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relayAll {
		r.logger.Info("store reachable directly again")
	}
	r.failures, r.relayAll, r.probing, r.arrivedAt = 0, false, false, time.Now()
}

// recordDirectFailure counts a failed direct call that began at some time, and makes all calls be
// relayed after relayAllThreshold consecutive failures or one call without a response. A call that
// is only slow doesn't count.
func (r *Relayer) recordDirectFailure(response *http.Response, err error, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isSlow(err, began) {
		r.probing = false
		return
	}
	r.failures++
	if err != nil {
		r.failures = relayAllThreshold
	}
	r.probing, r.nextProbeAt = false, time.Now().Add(directProbeDelay)
	if r.failures < relayAllThreshold {
		return
	}
	if !r.relayAll {
		status := 0
		if response != nil {
			status = response.StatusCode
		}
		r.logger.Warn("store rejects direct calls, relaying through peer VMs", "status", status, "error", err)
	}
	r.relayAll = true
}

// recordPeerOutage pauses relaying for peerOutagePause.
func (r *Relayer) recordPeerOutage(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerOutageUntil = now.Add(peerOutagePause)
}

// relayToPeers sends a call through peer VMs until one of them reaches the store. It
// returns errNoReachablePeer if none does, or the error of a call that may have taken
// effect and therefore isn't sent again.
func (r *Relayer) relayToPeers(request *http.Request, body []byte) (*http.Response, error) {
	for _, address := range r.selectPeers() {
		call := cloneRequest(request, body)
		call.URL.Host, call.Host = address, r.address
		call.Header.Set(headerRelayed, "1")
		response, err := r.peer.RoundTrip(call)
		if err != nil && isCanceled(request) {
			return nil, err //nolint:wrapcheck // canceled by the caller, which says nothing about the peer VM
		}
		if err != nil {
			r.skip(address)
			if mayRetry(request, err) {
				continue
			}
			return nil, err //nolint:wrapcheck // the store's client distinguishes the errors
		}
		if r.peerFailed(request, response) {
			r.skip(address)
			_ = response.Body.Close()
			continue
		}
		r.counter.Count("store_calls_relayed_total")
		return response, nil
	}
	return nil, errNoReachablePeer
}

// peerFailed returns whether a peer's response means that the store was not reached, or
// rejected the peer, and the call may be sent again.
func (r *Relayer) peerFailed(request *http.Request, response *http.Response) bool {
	readLost := request.Method == http.MethodGet && response.StatusCode == http.StatusBadGateway
	return response.Header.Get(headerRelayed) == "" || r.isRejected(response, nil) || readLost
}

// skip excludes a peer VM that failed to reach the store for peerSkipPeriod.
func (r *Relayer) skip(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skippedUntil[address] = time.Now().Add(peerSkipPeriod)
}

// selectPeers returns the peer VMs to try for one call.
func (r *Relayer) selectPeers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peers := r.usablePeers(r.local); len(peers) > 0 {
		return peers
	}
	return r.usablePeers(r.remote)
}

// usablePeers returns up to maxPeers addresses that are not skipped, starting at a random
// one.
func (r *Relayer) usablePeers(addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	first, now := rand.IntN(len(addresses)), time.Now()
	peers := make([]string, 0, maxPeers)
	for i := range addresses {
		address := addresses[(first+i)%len(addresses)]
		if now.After(r.skippedUntil[address]) && len(peers) < maxPeers {
			peers = append(peers, address)
		}
	}
	return peers
}

// ServeHTTP forwards a peer VM's call to the store over the direct path only.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Header.Get(headerRelayed) == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reservation := r.memory.NewReservation()
	defer reservation.Release()
	body, err := bodyloader.Load(w, request, maxBodyBytes, reservation)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable) // not forwarded
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
		w.WriteHeader(http.StatusBadGateway) // the call may have taken effect
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set(headerRelayed, "1")
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
}
