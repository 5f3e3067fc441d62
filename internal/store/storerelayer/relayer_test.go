package storerelayer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/storerelayer"
)

// roundTripFunc is the transport of a VM to the store.
type roundTripFunc func(request *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (w roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return w(request) }

func sendDirect(request *http.Request) (*http.Response, error) {
	return http.DefaultTransport.RoundTrip(request)
}

func failDial(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("cut")}
}

func failWithoutResponse(*http.Request) (*http.Response, error) { return nil, errors.New("reset") }

func respondWith(status int) roundTripFunc {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Body: http.NoBody, Header: http.Header{}}, nil
	}
}

// relayPair is a VM and a peer VM that relays its calls, each with its own transport to
// the store.
type relayPair struct {
	vm    *storerelayer.Relayer
	store string
	calls atomic.Int32 // calls that reached the store
}

func newPair(t *testing.T, vmTransport, peerTransport roundTripFunc) *relayPair {
	t.Helper()
	p := &relayPair{}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		if r.URL.Path == endlessPath {
			writeForever(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.URL.RequestURI()+" "), body...))
	}))
	t.Cleanup(store.Close)
	address := store.Listener.Addr().String()
	logger, count := slog.New(slog.DiscardHandler), counter.New(metrics.NewSet())
	peer := httptest.NewServer(storerelayer.New(address, peerTransport, http.DefaultTransport, count, logger))
	t.Cleanup(peer.Close)
	p.vm = storerelayer.New(address, vmTransport, http.DefaultTransport, count, logger)
	p.vm.SetPeers([]string{peer.Listener.Addr().String()}, nil)
	p.store = address
	return p
}

func call(t *testing.T, p *relayPair) (string, error) {
	t.Helper()
	return callWithMethod(t, p, http.MethodPost)
}

func callWithMethod(t *testing.T, p *relayPair, method string) (string, error) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+p.store+"/x?y=1", strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	response, err := p.vm.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return http.StatusText(response.StatusCode) + " " + string(body), nil
}

func expectCall(t *testing.T, vmTransport, peerTransport roundTripFunc, want string, wantCalls int) {
	t.Helper()
	p := newPair(t, vmTransport, peerTransport)
	got, err := call(t, p)
	if want == "" {
		qt.Check(t, err, qt.IsNotNil)
	} else {
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, want)
	}
	qt.Check(t, int(p.calls.Load()), qt.Equals, wantCalls)
}

func TestRoundTripOutcomes(t *testing.T) {
	const done = "OK /x?y=1 body"
	t.Run("refused to this VM", func(t *testing.T) {
		expectCall(t, respondWith(http.StatusServiceUnavailable), sendDirect, done, 1)
	})
	t.Run("way cut", func(t *testing.T) { expectCall(t, failDial, sendDirect, done, 1) })
	t.Run("one that may have been done is not sent again", func(t *testing.T) {
		expectCall(t, failWithoutResponse, sendDirect, "", 0)
	})
	t.Run("refused to all", func(t *testing.T) {
		busy := respondWith(http.StatusServiceUnavailable)
		expectCall(t, busy, busy, "Service Unavailable ", 0)
	})
	t.Run("lost behind the other VM", func(t *testing.T) {
		expectCall(t, failDial, failWithoutResponse, "Bad Gateway ", 0)
	})
	t.Run("conflict at the store", func(t *testing.T) {
		expectCall(t, failDial, respondWith(http.StatusPreconditionFailed), "Precondition Failed ", 0)
	})
}

// Guards against: the rejection of a VM of another fleet is taken for the answer of the store.
func TestRejectionByAnotherFleetIsNoAnswer(t *testing.T) {
	expect := func(t *testing.T, status int, method string) {
		t.Helper()
		p := newPair(t, failDial, sendDirect)
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(other.Close)
		p.vm.SetPeers([]string{other.Listener.Addr().String()}, nil)
		_, err := callWithMethod(t, p, method)
		qt.Check(t, err, qt.ErrorMatches, "dial: cut")
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method+" to another fleet", func(t *testing.T) { expect(t, http.StatusMisdirectedRequest, method) })
		t.Run(method+" to a fleet unknown", func(t *testing.T) { expect(t, http.StatusServiceUnavailable, method) })
	}
}

func TestCallAfterLostResponseIsRelayed(t *testing.T) {
	p := newPair(t, failWithoutResponse, sendDirect)
	_, err := call(t, p)
	qt.Assert(t, err, qt.IsNotNil)
	got, err := call(t, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
	qt.Check(t, int(p.calls.Load()), qt.Equals, 1)
}

// A store that rejects an occasional call must not make the VM relay all its other calls
// and so put load on its peers.
func TestSingleRejectionRelaysNoOtherCalls(t *testing.T) {
	var directCalls atomic.Int32
	p := newPair(t, func(r *http.Request) (*http.Response, error) {
		if directCalls.Add(1) == 1 {
			return respondWith(http.StatusServiceUnavailable)(r)
		}
		return sendDirect(r)
	}, sendDirect)
	for range 3 {
		got, err := call(t, p)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
	}
	qt.Check(t, int(directCalls.Load()), qt.Equals, 3)
}

func TestLostReadIsRetriedThroughPeer(t *testing.T) {
	p := newPair(t, failWithoutResponse, sendDirect)
	got, err := callWithMethod(t, p, http.MethodGet)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
}

// The caller may cancel the call that probes the direct path; another call must then
// probe it.
func TestCanceledProbeIsRepeated(t *testing.T) {
	var lossy atomic.Bool
	var directCalls atomic.Int32
	p := newPair(t, func(r *http.Request) (*http.Response, error) {
		directCalls.Add(1)
		if lossy.Load() {
			return nil, errors.New("lost")
		}
		return sendDirect(r)
	}, sendDirect)
	lossy.Store(true)
	_, err := call(t, p)
	qt.Assert(t, err, qt.IsNotNil)
	for directCalls.Load() == 1 { // until a call probes the direct path
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(
			ctx, http.MethodPost, "http://"+p.store+"/x?y=1", strings.NewReader("body"))
		qt.Assert(t, err, qt.IsNil)
		cancel()
		_, _ = p.vm.RoundTrip(request)
		time.Sleep(10 * time.Millisecond)
	}
	lossy.Store(false)
	before := directCalls.Load()
	_, err = call(t, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, directCalls.Load(), qt.Equals, before+1)
}

// Guards against: a store that doesn't answer a VM is never reached through peer VMs, as the
// callers bound the time until an answer begins by canceling the call.
func TestCallWithoutAnswerMakesLaterCallsBeRelayed(t *testing.T) {
	p := newPair(t, func(r *http.Request) (*http.Response, error) {
		select {
		case <-r.Context().Done():
			return nil, context.Cause(r.Context())
		case <-time.After(2 * time.Second):
			return nil, errors.New("silent")
		}
	}, sendDirect)
	ctx, cancel := context.WithCancelCause(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.store+"/x?y=1", http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	time.AfterFunc(20*time.Millisecond, func() { cancel(fmt.Errorf("no answer: %w", context.DeadlineExceeded)) })
	_, err = p.vm.RoundTrip(request)
	qt.Assert(t, err, qt.IsNotNil)
	got, err := call(t, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
}

// endlessPath is the path of calls whose answer arrives until the caller leaves.
const endlessPath = "/endless"

// writeForever writes a byte now and then until the caller leaves.
func writeForever(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		_, _ = w.Write([]byte("."))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// startArriving makes a call and reads its answer, which keeps arriving, until stop is called.
func (p *relayPair) startArriving(t *testing.T) (stop func()) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.store+endlessPath, http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	response, err := p.vm.RoundTrip(request)
	qt.Assert(t, err, qt.IsNil)
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.Copy(io.Discard, response.Body) })
	return func() {
		_ = response.Body.Close()
		group.Wait()
	}
}

// slowPath is the path of calls that slowTransport answers slowly.
const slowPath = "/slow"

// slowTransport is a transport whose calls of slowPath get no answer in time, and counts the others.
type slowTransport struct {
	direct atomic.Int32
}

// RoundTrip implements http.RoundTripper.
func (s *slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Path != slowPath {
		s.direct.Add(1)
		return sendDirect(request)
	}
	<-request.Context().Done()
	return nil, context.Cause(request.Context())
}

// callSlowly makes a call that gets no answer within a timeout.
func callSlowly(t *testing.T, p *relayPair, timeout time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.store+slowPath, http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.vm.RoundTrip(request)
	qt.Assert(t, err, qt.IsNotNil)
}

// expectAfterSlowCall makes some calls after one that got no answer, and checks how many of them
// are sent directly.
func expectAfterSlowCall(t *testing.T, p *relayPair, vm *slowTransport, want int) {
	t.Helper()
	const calls = 5
	before := vm.direct.Load()
	for range calls {
		got, err := call(t, p)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
	}
	qt.Check(t, int(vm.direct.Load()-before), qt.Equals, want, qt.Commentf("direct calls of %d", calls))
}

// Guards against: one answer that is late over a full link makes a VM relay all its calls
// through peer VMs, whose way to the store leads over the same link.
func TestSlowAnswerOfReachableStoreRelaysNoOtherCalls(t *testing.T) {
	const timeout = 200 * time.Millisecond
	t.Run("others are answered meanwhile", func(t *testing.T) {
		vm := &slowTransport{}
		p := newPair(t, vm.RoundTrip, sendDirect)
		time.AfterFunc(timeout/2, func() { _, _ = call(t, p) })
		callSlowly(t, p, timeout)
		expectAfterSlowCall(t, p, vm, 5)
	})
	t.Run("another answer is arriving", func(t *testing.T) {
		vm := &slowTransport{}
		p := newPair(t, vm.RoundTrip, sendDirect)
		arriving := p.startArriving(t)
		callSlowly(t, p, timeout)
		expectAfterSlowCall(t, p, vm, 5)
		arriving()
	})
	t.Run("others were answered before only", func(t *testing.T) {
		vm := &slowTransport{}
		p := newPair(t, vm.RoundTrip, sendDirect)
		_, err := call(t, p)
		qt.Assert(t, err, qt.IsNil)
		callSlowly(t, p, timeout)
		expectAfterSlowCall(t, p, vm, 0)
	})
	t.Run("others were answered long ago", func(t *testing.T) {
		vm := &slowTransport{}
		p := newPair(t, vm.RoundTrip, sendDirect)
		time.AfterFunc(timeout/2, func() { _, _ = call(t, p) })
		callSlowly(t, p, timeout/2+1100*time.Millisecond)
		expectAfterSlowCall(t, p, vm, 0)
	})
}

// Guards against: a call whose time is over is sent to a peer VM, which is then taken for one that
// can't reach the store.
func TestCallWhoseTimeIsOverIsNotRelayed(t *testing.T) {
	var relayed atomic.Int32
	p := newPair(t, failDial, func(r *http.Request) (*http.Response, error) {
		relayed.Add(1)
		return sendDirect(r)
	})
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.store+"/x?y=1", http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.vm.RoundTrip(request)
	qt.Check(t, err, qt.ErrorMatches, "dial: cut")
	qt.Check(t, relayed.Load(), qt.Equals, int32(0))
	got, err := call(t, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
}
