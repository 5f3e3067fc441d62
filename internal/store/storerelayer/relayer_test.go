package storerelayer_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/storerelayer"
)

// way is what becomes of a VM's calls on their way to the store.
type way func(request *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (w way) RoundTrip(request *http.Request) (*http.Response, error) { return w(request) }

func open(request *http.Request) (*http.Response, error) {
	return http.DefaultTransport.RoundTrip(request)
}

func cut(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("cut")}
}

func reset(*http.Request) (*http.Response, error) { return nil, errors.New("reset") }

func answering(status int) way {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Body: http.NoBody, Header: http.Header{}}, nil
	}
}

// pair is a VM with a way to the store, beside another that relays by a way of
// its own.
type pair struct {
	vm    *storerelayer.Relayer
	store string
	calls atomic.Int32 // that reached the store
}

func newPair(t *testing.T, own, others way) *pair {
	t.Helper()
	p := &pair{}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.URL.RequestURI()+" "), body...))
	}))
	t.Cleanup(store.Close)
	address := store.Listener.Addr().String()
	logger, count := slog.New(slog.DiscardHandler), counter.New(metrics.NewSet())
	other := httptest.NewServer(storerelayer.New(address, others, http.DefaultTransport, count, logger))
	t.Cleanup(other.Close)
	p.vm = storerelayer.New(address, own, http.DefaultTransport, count, logger)
	p.vm.SetPeers([]string{other.Listener.Addr().String()}, nil)
	p.store = address
	return p
}

func call(t *testing.T, p *pair) (string, error) {
	t.Helper()
	return callBy(t, p, http.MethodPost)
}

func callBy(t *testing.T, p *pair, method string) (string, error) {
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

func expectCall(t *testing.T, own, others way, want string, wantCalls int) {
	t.Helper()
	p := newPair(t, own, others)
	got, err := call(t, p)
	if want == "" {
		qt.Check(t, err, qt.IsNotNil)
	} else {
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, want)
	}
	qt.Check(t, int(p.calls.Load()), qt.Equals, wantCalls)
}

func TestCalls(t *testing.T) {
	const done = "OK /x?y=1 body"
	t.Run("refused to this VM", func(t *testing.T) {
		expectCall(t, answering(http.StatusServiceUnavailable), open, done, 1)
	})
	t.Run("way cut", func(t *testing.T) { expectCall(t, cut, open, done, 1) })
	t.Run("one that may have been done is not sent again", func(t *testing.T) { expectCall(t, reset, open, "", 0) })
	t.Run("refused to all", func(t *testing.T) {
		busy := answering(http.StatusServiceUnavailable)
		expectCall(t, busy, busy, "Service Unavailable ", 0)
	})
	t.Run("lost behind the other VM", func(t *testing.T) {
		expectCall(t, cut, reset, "Bad Gateway ", 0)
	})
	t.Run("conflict at the store", func(t *testing.T) {
		expectCall(t, cut, answering(http.StatusPreconditionFailed), "Precondition Failed ", 0)
	})
}

func TestTheNextCallAfterALostOneIsRelayed(t *testing.T) {
	p := newPair(t, reset, open)
	_, err := call(t, p)
	qt.Assert(t, err, qt.IsNotNil)
	got, err := call(t, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
	qt.Check(t, int(p.calls.Load()), qt.Equals, 1)
}

// A store that refuses a call now and then is no reason to burden other VMs
// with all others.
func TestASingleRefusalIsRelayedAlone(t *testing.T) {
	var asked atomic.Int32
	p := newPair(t, func(r *http.Request) (*http.Response, error) {
		if asked.Add(1) == 1 {
			return answering(http.StatusServiceUnavailable)(r)
		}
		return open(r)
	}, open)
	for range 3 {
		got, err := call(t, p)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
	}
	qt.Check(t, int(asked.Load()), qt.Equals, 3)
}

func TestAReadThatWasLostIsSentAgain(t *testing.T) {
	p := newPair(t, reset, open)
	got, err := callBy(t, p, http.MethodGet)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
}

// The call that tries the direct way again may be given up by its caller; then
// another one must try.
func TestAProbeThatIsGivenUpIsMadeAgain(t *testing.T) {
	var closed atomic.Bool
	var asked atomic.Int32
	p := newPair(t, func(r *http.Request) (*http.Response, error) {
		asked.Add(1)
		if closed.Load() {
			return nil, errors.New("lost")
		}
		return open(r)
	}, open)
	closed.Store(true)
	_, err := call(t, p)
	qt.Assert(t, err, qt.IsNotNil)
	for asked.Load() == 1 { // until the probe
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.store+"/x?y=1", strings.NewReader("body"))
		qt.Assert(t, err, qt.IsNil)
		cancel()
		_, _ = p.vm.RoundTrip(request)
		time.Sleep(10 * time.Millisecond)
	}
	closed.Store(false)
	before := asked.Load()
	_, err = call(t, p)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, asked.Load(), qt.Equals, before+1)
}
