// Package bootstrapper initializes a starting VM with the content of the store's tables as
// its peer VMs know them: the configuration in force, the upstreams and the other VMs.
//
// A VM may start while the store is unavailable. Its peers continue to serve with what
// they have read before. Without their copies, a rolling restart during an outage would
// stop the service of one VM after the other. Content read from the store replaces these
// copies, and once all tables have content no peer is queried anymore.
//
// The copies name the fleet of the VM that answers. A VM that could not read its fleet's
// identity from the store either takes that of its peers, unless they name several: then one of them
// has outlived its fleet, and which one can't be told.
package bootstrapper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/arrivalbounder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// Path is the HTTP path at which a VM serves its copies to peers.
	Path = "/knowledge"
	// peersPerRound is the number of VMs queried at a time. Any single one may lag behind.
	peersPerRound = 3
	// gatherWindow is how long to wait for more peers after the first one.
	gatherWindow = 40 * time.Millisecond
	// answerTimeout is how long a peer VM's answer may take to begin, and stand still then, and
	// maxAnswerTime how long it may keep arriving: copies of long tables may cross a link that is full.
	answerTimeout = time.Second
	maxAnswerTime = 8 * time.Second
	// maxPeers bounds the number of known peer addresses.
	maxPeers = 32
	// maxAnswerBytes bounds the answer of a peer VM.
	maxAnswerBytes = 16 << 20
	// defaultMemoryBytes bounds the answers that are read at the same time unless there is a budget.
	defaultMemoryBytes = 64 << 20
)

// roundBackoff determines the delays between two rounds of queries.
var roundBackoff = sleeper.Backoff{Initial: 200 * time.Millisecond, Max: 2 * time.Second}

// errTooLong means that an answer has more than maxAnswerBytes.
var errTooLong = errors.New("answer too long")

// errStatus means that a peer VM answered with a status other than 200 OK.
var errStatus = errors.New("unexpected status")

// Table is a table of the store that this VM follows.
type Table interface {
	// Copy returns the known content of the table. It returns false if there is none yet.
	Copy(now time.Time) (watcher.Copy, bool)
	// Offer replaces the known content by a copy from a peer VM, if the copy is newer. It
	// reports whether the copy was accepted.
	Offer(c watcher.Copy, now time.Time) bool
	// HasData reports whether any content of the table is known.
	HasData() bool
}

// Guard runs tasks so that a panic ends that task alone.
type Guard interface {
	Guard(name string, task func())
}

// tableCopies is the answer of a peer VM: its copies by table name.
type tableCopies struct {
	Tables map[string]watcher.Copy `cbor:"tables"`
	// Fleet is the identity of the peer's fleet; 0 while the peer doesn't know it.
	Fleet uint64 `cbor:"fleet,omitempty"`
}

// Fleet is what this VM knows of its fleet.
type Fleet interface {
	// Identity returns the identity of the fleet; 0 while it is unknown.
	Identity() uint64
	// Adopt sets the identity that peer VMs name if none is known. It returns whether the
	// identity is that of this VM's fleet then.
	Adopt(identity uint64) bool
}

// Bootstrapper queries peer VMs, and answers their queries.
type Bootstrapper struct {
	client   *http.Client
	guard    Guard
	fleet    Fleet
	logger   *slog.Logger
	tables   map[string]Table
	newPeers chan netip.AddrPort
	memory   *rationer.Rationer

	hasLoggedFleets bool // that peers are of several fleets; used by Run only
}

var _ http.Handler = (*Bootstrapper)(nil)

// Option configures a Bootstrapper.
type Option func(*Bootstrapper)

// WithMemory sets the budget from which memory for answers is reserved while they are read and decoded.
func WithMemory(budget *rationer.Rationer) Option {
	return func(b *Bootstrapper) { b.memory = budget }
}

// New returns a Bootstrapper without tables. The transport carries the requests to other
// VMs.
func New(
	transport http.RoundTripper, fleet Fleet, guard Guard, logger *slog.Logger, options ...Option,
) *Bootstrapper {
	b := &Bootstrapper{
		client: &http.Client{Transport: transport}, fleet: fleet, guard: guard, logger: logger, tables: map[string]Table{},
		newPeers: make(chan netip.AddrPort, maxPeers), memory: rationer.New(defaultMemoryBytes),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// AddTable adds a table. It must be called before Run and before the first request.
func (b *Bootstrapper) AddTable(name string, table Table) { b.tables[name] = table }

// AddPeer adds the address at which a peer VM answers. It never blocks; with maxPeers
// addresses pending, it discards the address.
func (b *Bootstrapper) AddPeer(address netip.AddrPort) {
	select {
	case b.newPeers <- address:
	default: // the pending addresses are enough to query
	}
}

// Run queries peer VMs until every table has content or the context ends.
func (b *Bootstrapper) Run(ctx context.Context) {
	var peers []netip.AddrPort
	for round := 0; !b.hasAllTables(); round++ {
		peers = b.gatherPeers(ctx, peers)
		if ctx.Err() != nil || b.hasAllTables() {
			return
		}
		b.offerNewest(b.ofOwnFleet(b.queryPeers(ctx, samplePeers(peers))))
		if b.hasAllTables() || !roundBackoff.Wait(ctx, round) {
			return
		}
	}
}

// hasAllTables reports whether every table has content.
func (b *Bootstrapper) hasAllTables() bool {
	for _, table := range b.tables {
		if !table.HasData() {
			return false
		}
	}
	return true
}

// gatherPeers waits until a peer is known, and then for gatherWindow for more. It returns
// nil if the context ends first, and otherwise the latest maxPeers addresses.
func (b *Bootstrapper) gatherPeers(ctx context.Context, peers []netip.AddrPort) []netip.AddrPort {
	if len(peers) == 0 {
		select {
		case address := <-b.newPeers:
			peers = append(peers, address)
		case <-ctx.Done():
			return nil
		}
	}
	timer := time.NewTimer(gatherWindow)
	defer timer.Stop()
	for {
		select {
		case address := <-b.newPeers:
			peers = append(peers, address)
		case <-timer.C:
			return peers[max(0, len(peers)-maxPeers):]
		case <-ctx.Done():
			return nil
		}
	}
}

// samplePeers returns up to peersPerRound peers at random.
func samplePeers(peers []netip.AddrPort) []netip.AddrPort {
	sample := make([]netip.AddrPort, 0, peersPerRound)
	for _, i := range rand.Perm(len(peers))[:min(peersPerRound, len(peers))] {
		sample = append(sample, peers[i])
	}
	return sample
}

// queryPeers queries peers concurrently and returns their answers. The answer of a peer
// that failed is empty.
func (b *Bootstrapper) queryPeers(ctx context.Context, addresses []netip.AddrPort) []tableCopies {
	answers := make([]tableCopies, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			b.guard.Guard("question to a neighbour", func() {
				answer, err := b.queryPeer(ctx, address)
				if err != nil {
					b.logger.Info("querying a peer VM failed", "address", address.String(), "error", err)
					return
				}
				answers[i] = answer
			})
		})
	}
	group.Wait()
	return answers
}

func (b *Bootstrapper) queryPeer(ctx context.Context, address netip.AddrPort) (tableCopies, error) {
	var answer tableCopies
	ctx, bounder := arrivalbounder.Start(ctx, arrivalbounder.Bounds{
		Start: answerTimeout, Stall: answerTimeout, Total: maxAnswerTime,
	})
	defer bounder.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+Path, http.NoBody)
	if err != nil {
		return answer, fmt.Errorf("create request: %w", err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return answer, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w %d", errStatus, response.StatusCode)
	}
	if response.ContentLength > maxAnswerBytes {
		return answer, errTooLong
	}
	reservation := b.memory.NewReservation()
	defer reservation.Release()
	data, err := reservation.ReadAll(io.LimitReader(bounder.Reader(response.Body), maxAnswerBytes), response.ContentLength)
	if err != nil {
		return answer, fmt.Errorf("read answer: %w", err)
	}
	if response.ContentLength < 0 && len(data) == maxAnswerBytes {
		return answer, errTooLong
	}
	if err := lenientdecoder.Decode(data, &answer); err != nil {
		return answer, fmt.Errorf("decode answer: %w", err)
	}
	return answer, nil
}

// ofOwnFleet returns the answers of peers that may be of this VM's fleet: those that name it or none. If
// the fleet is unknown, it becomes the one that the answers name, and if they name several, those are left out.
func (b *Bootstrapper) ofOwnFleet(answers []tableCopies) []tableCopies {
	own := b.fleet.Identity()
	if own == 0 {
		own = b.adopt(answers)
	}
	var accepted []tableCopies
	for _, answer := range answers {
		if answer.Fleet == 0 || answer.Fleet == own {
			accepted = append(accepted, answer)
		}
	}
	return accepted
}

// adopt adopts the fleet that the answers name. It returns 0 if they name none, several, or
// one that is not the one that the store has named meanwhile.
func (b *Bootstrapper) adopt(answers []tableCopies) uint64 {
	var named uint64
	for _, answer := range answers {
		switch {
		case answer.Fleet == 0 || answer.Fleet == named:
		case named == 0:
			named = answer.Fleet
		default:
			b.logFleets(named, answer.Fleet)
			return 0
		}
	}
	if named == 0 || !b.fleet.Adopt(named) {
		return 0
	}
	return named
}

// logFleets logs once that peers are of several fleets.
func (b *Bootstrapper) logFleets(fleets ...uint64) {
	if !b.hasLoggedFleets {
		b.hasLoggedFleets = true
		b.logger.Warn("peer VMs are of several fleets, their copies are not used", "fleets", fleets)
	}
}

// offerNewest offers each table the newest copy of it.
func (b *Bootstrapper) offerNewest(answers []tableCopies) {
	for name, table := range b.tables {
		var newest watcher.Copy
		for _, answer := range answers {
			if c := answer.Tables[name]; c.Version > newest.Version {
				newest = c
			}
		}
		if newest.Version == 0 || !table.Offer(newest, time.Now()) {
			continue
		}
		b.logger.Info("table copied from a peer VM", "table", name, "rows", len(newest.Rows), "version", newest.Version,
			"age", newest.Age, "asked", len(answers))
	}
}

// ServeHTTP answers a peer VM with copies of this VM's tables.
func (b *Bootstrapper) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	copies, now := tableCopies{Tables: map[string]watcher.Copy{}, Fleet: b.fleet.Identity()}, time.Now()
	for name, table := range b.tables {
		if c, found := table.Copy(now); found {
			copies.Tables[name] = c
		}
	}
	var encoded bytes.Buffer
	if err := cbor.NewEncoder(&encoded).Encode(copies); err != nil {
		b.logger.Error("encoding table copies failed", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if _, err := w.Write(encoded.Bytes()); err != nil {
		b.logger.Debug("answering a peer VM failed", "error", err) // the peer queries another VM, or tries again
	}
}
