// Package tablesharer has a few VMs of each region read a long table from the store, from
// which the region's other VMs get it.
//
// All VMs of a region may reach the store over one narrow link. If each of them reads a long
// configuration at every change, the copies fill that link, and nothing else gets through.
//
// The readers are chosen by rendezvous hashing over the region's live VMs. Any VM answers any
// other one by what it has, and tells when it last heard from the store. A VM uses nothing that
// is older than what it has had before, and takes "no change" only from a reader that has heard
// from the store just now. If no reader tells, it reads the store itself, within the same call. So
// a wrong choice or a lost reader costs bytes, and never a change that arrives too late. A VM asks only
// VMs before it in the order, so no two follow each other, whatever lists of VMs they have.
//
// When all readers of a region fail at once, its other VMs ask the store within about a second. What they
// get is the changes since the content that they have, so a copy each only if the table has changed just then, the
// store has lost its history, or they have had no reader for wholeInterval.
package tablesharer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// longBytes is the size of the values from which on a table is shared. A shorter one is
	// read directly, which is a hop less.
	longBytes = 64 << 10
	// readersPerRegion is the number of VMs of a region that read the store.
	readersPerRegion = 2
	// maxAge is how long ago a reader may have heard from the store. The store holds a call
	// for changes for a second.
	maxAge = 1500 * time.Millisecond
	// maxHold bounds how long a reader is asked to wait for a change. It is short, so that time
	// is left to read the store if the reader is silent.
	maxHold = 500 * time.Millisecond
	// wholeInterval is the time after which a VM whose readers are all lost reads the whole table
	// again, and not only the changes.
	wholeInterval = 30 * time.Second
)

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Fleet is what this VM knows of its fleet.
type Fleet interface {
	// Identity returns the identity of the fleet; 0 while it is unknown.
	Identity() uint64
}

// Sharer is a store that reads one table from other VMs of the region if they have it, and an
// HTTP handler that gives that table to other VMs. One watcher may read the table through it. It
// passes all other calls to the store.
type Sharer struct {
	store    rowstore.Store
	table    string
	part     string
	vm       string
	client   *http.Client
	fleet    Fleet
	counter  Counter
	logger   *slog.Logger
	maxBytes int64

	mu    sync.Mutex
	known *content // what this VM has read last; nil if that isn't known in full
	// contactAt is when an answer of the store last confirmed or changed known, at this VM or at the
	// one that it was read from. arrivingAt is when the last piece of an answer came that is still arriving.
	contactAt  time.Time
	arrivingAt time.Time
	// confirmedAt is a time at which known was the newest content; zero if there is none.
	confirmedAt time.Time
	// wholeAt is when the whole table was last read, or confirmed by a reader.
	wholeAt     time.Time
	changed     chan struct{} // closed when known changes
	readers     []reader      // in the order in which this VM asks them; none if it is one itself
	newerExists func() bool   // whether newer content is known to exist; nil if nobody tells
	source      string        // the VM that the table was last read from; empty for the store

	compressing sync.Mutex
	compressed  compressedRows
}

// reader is a VM that this one asks.
type reader struct {
	vm           string
	address      string
	skippedUntil time.Time
}

// compressedRows are the rows of the content with a digest as they are sent.
type compressedRows struct {
	digest uint64
	rows   []byte
}

var (
	_ rowstore.Store = (*Sharer)(nil)
	_ http.Handler   = (*Sharer)(nil)
)

// Option configures a Sharer.
type Option func(*Sharer)

// WithMaxBytes bounds what is read of another VM's answer, and of its rows once they are decompressed.
func WithMaxBytes(bytes int64) Option {
	return func(s *Sharer) { s.maxBytes = bytes }
}

// New returns a Sharer of one table for a VM. Without peers it reads the store. The transport carries
// requests to other VMs.
func New(
	store rowstore.Store, table, part, vm string, transport http.RoundTripper, fleet Fleet, counter Counter,
	logger *slog.Logger, options ...Option,
) *Sharer {
	s := &Sharer{
		store: store, table: table, part: part, vm: vm, client: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		fleet: fleet, counter: counter, logger: logger, changed: make(chan struct{}),
		maxBytes: defaultMaxBytes,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetPeers replaces the other live VMs of this VM's region: their peer addresses by name.
func (s *Sharer) SetPeers(addresses map[string]string) {
	names := []string{s.vm}
	for vm := range addresses {
		names = append(names, vm)
	}
	chosen := weigher.Order(s.table, names)[:min(readersPerRegion, len(names))]
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.readers
	s.readers = nil
	if slices.Contains(chosen, s.vm) {
		return
	}
	for _, vm := range weigher.Order(s.vm, chosen) {
		added := reader{vm: vm, address: addresses[vm]}
		for _, r := range previous {
			if r.vm == added.vm && r.address == added.address {
				added.skippedUntil = r.skippedUntil
			}
		}
		s.readers = append(s.readers, added)
	}
}

// SetNewer sets a function that returns whether newer content of the table is known to exist. While it does, and
// no reader tells, the whole table is read: the feed of changes may withhold it.
func (s *Sharer) SetNewer(exists func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newerExists = exists
}

// Transact implements rowstore.Store.
func (s *Sharer) Transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	return s.store.Transact(ctx, tx) //nolint:wrapcheck // the store's errors are part of the interface
}

// Range implements rowstore.Store. It reads the whole table from another VM if possible.
func (s *Sharer) Range(
	ctx context.Context, table, part, from, to string,
) (rowstore.Snapshot, string, error) {
	if table != s.table || part != s.part || from != "" || to != "" {
		return s.store.Range(ctx, table, part, from, to) //nolint:wrapcheck // as for Transact
	}
	base := s.sharedContent()
	if base == nil {
		return s.readStore(ctx)
	}
	if shared := s.fromReaders(ctx, base, 0); shared != nil {
		return rowstore.Snapshot{Rows: shared.sorted(), Version: shared.version}, "", nil
	}
	if s.isWholeDue() {
		return s.readStore(ctx)
	}
	changes, err := s.changesFromStore(ctx, base.version, 0)
	if errors.Is(err, rowstore.ErrHistoryGone) {
		return s.readStore(ctx)
	}
	if err != nil {
		return rowstore.Snapshot{}, "", err
	}
	newest := base.withChanges(changes)
	return rowstore.Snapshot{Rows: newest.sorted(), Version: newest.version}, "", nil
}

// Changes implements rowstore.Store. It reads the changes from another VM if possible.
func (s *Sharer) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	if table != s.table {
		return s.store.Changes(ctx, table, after, wait) //nolint:wrapcheck // as for Transact
	}
	began := time.Now()
	if base := s.sharedContent(); base != nil && base.version == after {
		hold := min(wait, maxHold)
		shared := s.fromReaders(ctx, base, hold)
		if shared == base {
			sleeper.Sleep(ctx, hold-time.Since(began)) // a reader that doesn't wait must not be asked in a loop
		}
		if shared != nil {
			return rowstore.Snapshot{Rows: shared.changesSince(base), Version: shared.version}, nil
		}
	}
	return s.changesFromStore(ctx, after, max(0, wait-time.Since(began)))
}

// sharedContent returns the known content if it is long and this VM is to ask readers for newer; nil
// otherwise.
func (s *Sharer) sharedContent() *content {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil || !s.known.isLong() || len(s.readers) == 0 {
		return nil
	}
	return s.known
}

// readStore reads the whole table from the store. If first reads overlap, the one that ends first becomes the
// known content, as the watcher uses that one: the changes that it asks for next follow on it alone.
func (s *Sharer) readStore(ctx context.Context) (rowstore.Snapshot, string, error) {
	began := time.Now()
	all, next, err := s.store.Range(s.observeArrival(ctx), s.table, s.part, "", "")
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.arrivingAt = time.Time{}
		return all, next, err //nolint:wrapcheck // as for Transact
	}
	if next == "" {
		s.confirm(began)
	}
	if began.Before(s.wholeAt) {
		return all, next, nil
	}
	s.recordContact(time.Now())
	s.wholeAt = time.Now()
	if next == "" {
		s.setKnown(contentOf(all))
	} else {
		s.setKnown(nil) // it spans pages that aren't of one moment
	}
	return all, next, nil
}

// isWholeDue returns whether the whole table is to be read if no reader tells it, as a feed of changes may
// stall unnoticed, or withhold what other VMs know. Otherwise the changes are enough: VMs whose readers are all
// lost would else all read the whole table after each failed call, and together once an outage of the store is over.
func (s *Sharer) isWholeDue() bool {
	s.mu.Lock()
	due, newerExists := time.Since(s.wholeAt) >= wholeInterval, s.newerExists
	s.mu.Unlock()
	return due || newerExists != nil && newerExists()
}

// changesFromStore reads the changes after a version from the store.
func (s *Sharer) changesFromStore(ctx context.Context, after uint64, wait time.Duration) (rowstore.Snapshot, error) {
	began := time.Now()
	changes, err := s.store.Changes(s.observeArrival(ctx), s.table, after, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.confirm(began)
	}
	if err != nil || s.known == nil || s.known.version != after {
		s.arrivingAt = time.Time{}
		return changes, err //nolint:wrapcheck // as for Transact
	}
	s.recordContact(time.Now())
	s.setKnown(s.known.withChanges(changes))
	return changes, nil
}

// observeArrival returns a context for a call of the store that records when the last piece of its
// answer arrived. A long answer may arrive for longer than maxAge, and a second copy of it over the
// same link would delay both: while it arrives, other VMs wait for it.
func (s *Sharer) observeArrival(ctx context.Context) context.Context {
	return rowstore.WithProgressHook(ctx, func() {
		s.mu.Lock()
		s.arrivingAt = time.Now()
		s.mu.Unlock()
	})
}

// recordContact records that an answer of the store has arrived. The caller must hold mu.
func (s *Sharer) recordContact(now time.Time) { s.contactAt, s.arrivingAt = now, time.Time{} }

// setKnown replaces the known content and wakes those that wait for newer. The caller must hold mu.
func (s *Sharer) setKnown(c *content) {
	if c != s.known {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.known = c
}
