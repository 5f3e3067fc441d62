package tablesharer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Arguments of a request: the version and the digest of the content that the asking VM has, and how
// long the answer may wait for another one.
const (
	argVersion = "version"
	argDigest  = "digest"
	argHold    = "hold"
)

// pathPrefix is the prefix of the HTTP path of a shared table.
const pathPrefix = "/tables/"

// Path returns the HTTP path at which the table is shared.
func (s *Sharer) Path() string { return pathPrefix + s.table }

// question is what another VM asks.
type question struct {
	version  uint64
	digest   uint64
	deadline time.Time // when to answer although nothing has changed
}

// questionOf returns the question of a request. It returns false if the request has none.
func questionOf(r *http.Request, now time.Time) (question, bool) {
	query := r.URL.Query()
	version, versionErr := strconv.ParseUint(query.Get(argVersion), 10, 64)
	digest, digestErr := strconv.ParseUint(query.Get(argDigest), 10, 64)
	hold, holdErr := time.ParseDuration(query.Get(argHold))
	valid := versionErr == nil && digestErr == nil && holdErr == nil
	return question{version: version, digest: digest, deadline: now.Add(min(hold, maxHold))}, valid
}

// isNews returns whether a content is newer than that of the VM that asks.
func (q question) isNews(c *content) bool { return c.version >= q.version && c.digest != q.digest }

// ServeHTTP answers another VM once there is a newer content than that VM has, the time to wait is over, or
// this VM has not heard from the store for too long.
func (s *Sharer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, valid := questionOf(r, time.Now())
	if !valid {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c, contactAt := s.await(r.Context(), q)
	if c == nil {
		w.WriteHeader(http.StatusServiceUnavailable) // nothing is known yet
		return
	}
	a := answer{
		Fleet: s.fleet.Identity(), Version: c.version, Digest: c.digest, Age: max(0, time.Since(contactAt)),
		ConfirmedAge: s.confirmedAge(time.Now()),
	}
	var err error
	if q.isNews(c) {
		a.Rows, err = s.compress(c)
	}
	body, encodeErr := cbor.Marshal(a)
	if err != nil || encodeErr != nil {
		s.logger.Error("encoding a shared table failed", "table", s.table, "error", err, "answer", encodeErr)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if _, err := w.Write(body); err != nil {
		s.logger.Debug("answering a peer VM failed", "error", err) // it asks another VM or the store
	}
}

// await returns the known content once it is to be sent, and when this VM last heard from the store.
func (s *Sharer) await(ctx context.Context, q question) (*content, time.Time) {
	for {
		c, contactAt, changed := s.current()
		now := time.Now()
		rest := min(q.deadline.Sub(now), contactAt.Add(maxAge).Sub(now))
		if c == nil || q.isNews(c) || rest <= 0 {
			return c, contactAt
		}
		timer := time.NewTimer(rest)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return c, contactAt
		}
	}
}

// current returns the known content, when this VM last heard from the store, and a channel that is closed
// at the next change.
func (s *Sharer) current() (*content, time.Time, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	contactAt := s.contactAt
	if s.arrivingAt.After(contactAt) {
		contactAt = s.arrivingAt
	}
	return s.known, contactAt, s.changed
}

// compress returns the rows of a content as they are sent. It compresses each content once.
func (s *Sharer) compress(c *content) ([]byte, error) {
	s.compressing.Lock()
	defer s.compressing.Unlock() // held meanwhile, so that VMs that ask at the same time wait for one result
	if s.compressed.rows != nil && s.compressed.digest == c.digest {
		return s.compressed.rows, nil
	}
	rows, err := encodeRows(c)
	if err != nil {
		return nil, err
	}
	s.compressed = compressedRows{digest: c.digest, rows: rows}
	return rows, nil
}
