package tablesharer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
)

const (
	// startTimeout is how long a reader may take until its answer starts to arrive, beyond the time
	// that it was asked to wait.
	startTimeout = 400 * time.Millisecond
	// arrivalTimeout is how long an answer may take to arrive.
	arrivalTimeout = 700 * time.Millisecond
	// readersTimeout is the time after which no other reader is asked.
	readersTimeout = 1300 * time.Millisecond
	// skipPeriod is how long a reader that has failed isn't asked again.
	skipPeriod = 3 * time.Second
)

// Counters of the answers of readers, and of what was read from the store because none told.
const (
	countShared = `tables_shared_total{outcome="shared"}`
	countStale  = `tables_shared_total{outcome="stale"}`
	countOlder  = `tables_shared_total{outcome="older"}`
	countFailed = `tables_shared_total{outcome="failed"}`
	countDirect = `tables_shared_total{outcome="direct"}`
)

// Errors of an answer that can't be used.
var (
	errStatus     = errors.New("unexpected status")
	errOtherFleet = errors.New("not known to be of this fleet")
	errNotReady   = errors.New("no content, or fleet unknown")
	errStale      = errors.New("no contact with the store")
	errOlder      = errors.New("content is older")
	errSkipped    = errors.New("all have failed lately")
)

// noRedirect has a redirect returned as the answer, which is then of an unexpected status.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// fromReaders returns the newest content by the word of a reader, which waits up to hold for a change
// of the base. It returns nil if no reader tells.
func (s *Sharer) fromReaders(ctx context.Context, base *content, hold time.Duration) *content {
	began, reason := time.Now(), errSkipped
	for _, r := range s.usableReaders(began) {
		elapsed := time.Since(began)
		if elapsed > readersTimeout || ctx.Err() != nil {
			break
		}
		told, err := s.ask(ctx, r, base, max(0, hold-elapsed))
		if err == nil {
			s.adopt(told)
			s.recordSource(countShared, r.vm, nil)
			return told.content
		}
		s.recordFailure(ctx, r, err)
		reason = err
	}
	if ctx.Err() == nil {
		s.recordSource(countDirect, "", reason)
	}
	return nil
}

// usableReaders returns the readers that have not failed lately.
func (s *Sharer) usableReaders(now time.Time) []reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	var usable []reader
	for _, r := range s.readers {
		if !now.Before(r.skippedUntil) {
			usable = append(usable, r)
		}
	}
	return usable
}

// adopt makes what a reader has told the known content.
func (s *Sharer) adopt(t told) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.contactAt, s.wholeAt = now.Add(-max(0, t.age)), now
	s.confirm(t.confirmedAt)
	s.setKnown(t.content)
}

// recordSource counts where the table was read, and logs when that changes.
func (s *Sharer) recordSource(outcome, vm string, reason error) {
	s.counter.Count(outcome)
	s.mu.Lock()
	changed := s.source != vm
	s.source = vm
	s.mu.Unlock()
	if changed && vm == "" {
		s.logger.Info("table read from the store, as no VM shares it", "table", s.table, "error", reason)
	} else if changed {
		s.logger.Info("table read from another VM", "table", s.table, "vm", vm)
	}
}

// recordFailure counts an answer that can't be used. A reader that didn't answer as it should isn't
// asked for a while.
func (s *Sharer) recordFailure(ctx context.Context, failed reader, err error) {
	switch {
	case ctx.Err() != nil:
		return // ended by the caller, which says nothing about the reader
	case errors.Is(err, errStale), errors.Is(err, errNotReady):
		s.counter.Count(countStale)
		return
	case errors.Is(err, errOlder):
		s.counter.Count(countOlder)
		return
	}
	s.counter.Count(countFailed)
	s.logger.Debug("VM doesn't share a table", "table", s.table, "vm", failed.vm, "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.readers {
		if s.readers[i].vm == failed.vm {
			s.readers[i].skippedUntil = time.Now().Add(skipPeriod)
		}
	}
}

// told is what a reader has told.
type told struct {
	content     *content
	age         time.Duration // since the reader heard from the store
	confirmedAt time.Time     // when the content was surely the newest; zero if the reader doesn't tell
}

// ask returns the content of a reader, which isn't older than the base. It is the base itself if it has
// not changed.
func (s *Sharer) ask(ctx context.Context, r reader, base *content, hold time.Duration) (told, error) {
	began := time.Now()
	a, err := s.send(ctx, r, base, hold)
	switch {
	case err != nil:
		return told{}, err
	case a.Fleet == 0 || a.Fleet != s.fleet.Identity():
		return told{}, errOtherFleet
	}
	newest := base
	if a.Digest != base.digest {
		if newest, err = s.newerOf(a, base); err != nil {
			return told{}, err
		}
	}
	t := told{content: newest, age: a.Age}
	if a.ConfirmedAge > 0 {
		t.confirmedAt = began.Add(-a.ConfirmedAge) // the answer may have waited here before it was read
	}
	switch {
	case newest.digest != base.digest:
		return t, nil
	case a.Age >= maxAge:
		return told{}, errStale
	default:
		t.content = base
		return t, nil
	}
}

// newerOf returns the content of an answer, which isn't older than the base.
func (s *Sharer) newerOf(a answer, base *content) (*content, error) {
	if len(a.Rows) == 0 {
		return nil, errOlder
	}
	newest, err := s.decodeRows(a)
	if err != nil {
		return nil, err
	}
	if newest.isOlderThan(base) {
		return nil, errOlder
	}
	return newest, nil
}

// send asks a reader and returns its answer.
func (s *Sharer) send(ctx context.Context, r reader, base *content, hold time.Duration) (answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(hold+startTimeout, cancel)
	defer timer.Stop()
	query := url.Values{
		argVersion: {strconv.FormatUint(base.version, 10)}, argDigest: {strconv.FormatUint(base.digest, 10)},
		argHold: {hold.String()},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+s.Path()+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return answer{}, fmt.Errorf("create request: %w", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	timer.Reset(arrivalTimeout)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return answer{}, errNotReady
	default:
		return answer{}, fmt.Errorf("%w %d", errStatus, response.StatusCode)
	}
	data, err := s.readBounded(response.Body)
	if err != nil {
		return answer{}, err
	}
	var a answer
	if err := lenientdecoder.Decode(data, &a); err != nil {
		return answer{}, fmt.Errorf("decode answer: %w", err)
	}
	return a, nil
}
