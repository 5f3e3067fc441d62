package fleetidentifier

import (
	"io"
	"net"
	"net/http"
	"strconv"
)

const (
	// headerFleet names the fleet of the VM that sends a request.
	headerFleet = "Fescuespindle-Fleet"
	// maxDiscardedBytes bounds what is read of the body of a rejected request. A connection that is
	// closed before is reset, and its sender would not learn that the request was rejected.
	maxDiscardedBytes = 8 << 20
)

// Header returns the header that names the fleet; nil while its identity is unknown.
func (f *Fleet) Header() http.Header {
	identity := f.Identity()
	if identity == 0 {
		return nil
	}
	return http.Header{headerFleet: {strconv.FormatUint(identity, 10)}}
}

// roundTripFunc is a function that sends requests.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (send roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) {
	return send(request)
}

// Transport returns a transport to peer VMs, whose requests name the fleet.
func (f *Fleet) Transport(next http.RoundTripper) http.RoundTripper {
	return roundTripFunc(func(request *http.Request) (*http.Response, error) {
		if header := f.Header(); header != nil {
			request = request.Clone(request.Context())
			request.Header[headerFleet] = header[headerFleet]
		}
		return next.RoundTrip(request)
	})
}

// Handler returns a handler of requests from peer VMs. It answers those of another fleet with status
// 421 before anything is done.
func (f *Fleet) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.Admit(identityOf(r), hostOf(r)) {
			next.ServeHTTP(w, r)
			return
		}
		reject(w, r, http.StatusMisdirectedRequest)
	})
}

// RequireKnown returns a handler that, beside, answers requests that name a fleet with status 503 while this
// VM doesn't know its own. It is for what cannot be undone and what other VMs can do as well: a job that is
// run, a row that is written, a configuration that is in force.
func (f *Fleet) RequireKnown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.Identity() != 0 || identityOf(r) == 0 {
			next.ServeHTTP(w, r)
			return
		}
		f.counter.Count(countUnknown)
		reject(w, r, http.StatusServiceUnavailable)
	})
}

func reject(w http.ResponseWriter, r *http.Request, status int) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes)) //nolint:errcheck // nothing depends on it
	w.WriteHeader(status)
}

// identityOf returns the identity that a request names; 0 if it names none that can be read.
func identityOf(r *http.Request) uint64 {
	identity, err := strconv.ParseUint(r.Header.Get(headerFleet), 10, 64)
	if err != nil {
		return 0
	}
	return identity
}

// hostOf returns the address of a request's sender without the port, which changes.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
