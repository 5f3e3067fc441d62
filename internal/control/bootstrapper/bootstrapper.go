// Package bootstrapper lets a VM that starts begin with what its neighbours know of
// the store's tables: the configuration in force, the upstreams, the other VMs.
//
// A VM may start while the store is away. Its neighbours go on serving from what
// they have read before; without it, a rolling restart in an outage would end the
// service of one VM after the other. What the store says itself replaces what
// neighbours know, and nobody is asked any more once it has answered.
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
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// Path is where a VM answers its neighbours.
	Path = "/knowledge"
	// neighbours is how many VMs are asked at a time. Any single one may lie behind.
	neighbours = 3
	// gatherTime is how long more neighbours are waited for after the first.
	gatherTime = 40 * time.Millisecond
	// answerTime bounds the wait for the answers of neighbours.
	answerTime = time.Second
	// maxMet bounds the neighbours that are remembered.
	maxMet    = 32
	maxAnswer = 16 << 20
)

// askPauses are the pauses until neighbours are asked again.
var askPauses = sleeper.Backoff{Initial: 200 * time.Millisecond, Max: 2 * time.Second}

// errStatus means that a neighbour gave an answer of another kind.
var errStatus = errors.New("unexpected status")

// Table is a table of the store that this VM follows.
type Table interface {
	// Copy returns what is known of the table, if anything is.
	Copy(now time.Time) (watcher.Copy, bool)
	// Offer takes in a neighbour's copy, unless what is known is as new.
	Offer(c watcher.Copy, now time.Time) bool
	// HasData tells whether anything is known of the table.
	HasData() bool
}

// Guard runs tasks so that an unexpected error ends that task alone.
type Guard interface {
	Guard(name string, task func())
}

// knowledge is what a neighbour answers: its copies by the name of their table.
type knowledge struct {
	Tables map[string]watcher.Copy `cbor:"tables"`
}

// Bootstrapper asks neighbours, and answers theirs.
type Bootstrapper struct {
	client *http.Client
	guard  Guard
	logger *slog.Logger
	tables map[string]Table
	met    chan netip.AddrPort
}

var _ http.Handler = (*Bootstrapper)(nil)

// New returns a bootstrapper of a VM that knows no tables. The transport reaches
// other VMs.
func New(transport http.RoundTripper, guard Guard, logger *slog.Logger) *Bootstrapper {
	return &Bootstrapper{
		client: &http.Client{Transport: transport}, guard: guard, logger: logger, tables: map[string]Table{},
		met: make(chan netip.AddrPort, maxMet),
	}
}

// AddTable adds a table. It must be called before Run and before the first request.
func (b *Bootstrapper) AddTable(name string, table Table) { b.tables[name] = table }

// AddPeer notes the address at which a neighbour answers. It never blocks.
func (b *Bootstrapper) AddPeer(address netip.AddrPort) {
	select {
	case b.met <- address:
	default: // there are plenty to ask
	}
}

// Run asks neighbours until something is known of each table or the context ends.
func (b *Bootstrapper) Run(ctx context.Context) {
	var known []netip.AddrPort
	for round := 0; !b.isComplete(); round++ {
		known = b.gather(ctx, known)
		if ctx.Err() != nil || b.isComplete() {
			return
		}
		b.offer(b.ask(ctx, some(known)))
		if b.isComplete() || !askPauses.Wait(ctx, round) {
			return
		}
	}
}

// isComplete tells whether something is known of each table.
func (b *Bootstrapper) isComplete() bool {
	for _, table := range b.tables {
		if !table.HasData() {
			return false
		}
	}
	return true
}

// gather waits until a neighbour has been met, and a little longer for more.
func (b *Bootstrapper) gather(ctx context.Context, known []netip.AddrPort) []netip.AddrPort {
	if len(known) == 0 {
		select {
		case address := <-b.met:
			known = append(known, address)
		case <-ctx.Done():
			return nil
		}
	}
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for {
		select {
		case address := <-b.met:
			known = append(known, address)
		case <-timer.C:
			return known[max(0, len(known)-maxMet):]
		case <-ctx.Done():
			return nil
		}
	}
}

// some returns a few of the neighbours, drawn anew each time.
func some(known []netip.AddrPort) []netip.AddrPort {
	drawn := make([]netip.AddrPort, 0, neighbours)
	for _, i := range rand.Perm(len(known))[:min(neighbours, len(known))] {
		drawn = append(drawn, known[i])
	}
	return drawn
}

// ask asks neighbours at the same time and returns what they know.
func (b *Bootstrapper) ask(ctx context.Context, addresses []netip.AddrPort) []knowledge {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	answers := make([]knowledge, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			b.guard.Guard("question to a neighbour", func() {
				answer, err := b.askOne(ctx, address)
				if err != nil {
					b.logger.Info("neighbour not asked", "address", address.String(), "error", err)
					return
				}
				answers[i] = answer
			})
		})
	}
	group.Wait()
	return answers
}

func (b *Bootstrapper) askOne(ctx context.Context, address netip.AddrPort) (knowledge, error) {
	var answer knowledge
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+Path, http.NoBody)
	if err != nil {
		return answer, fmt.Errorf("ask: %w", err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return answer, fmt.Errorf("ask: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w %d", errStatus, response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer, fmt.Errorf("read answer: %w", err)
	}
	if err := cbor.Unmarshal(text, &answer); err != nil {
		return answer, fmt.Errorf("decode answer: %w", err)
	}
	return answer, nil
}

// offer hands the newest copy of each table on.
func (b *Bootstrapper) offer(answers []knowledge) {
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
		b.logger.Info("table taken from a neighbour", "table", name, "rows", len(newest.Rows), "version", newest.Version,
			"age", newest.Age, "asked", len(answers))
	}
}

// ServeHTTP tells a neighbour what this VM knows.
func (b *Bootstrapper) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	known, now := knowledge{Tables: map[string]watcher.Copy{}}, time.Now()
	for name, table := range b.tables {
		if c, found := table.Copy(now); found {
			known.Tables[name] = c
		}
	}
	var text bytes.Buffer
	if err := cbor.NewEncoder(&text).Encode(known); err != nil {
		b.logger.Error("encode knowledge", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if _, err := w.Write(text.Bytes()); err != nil {
		b.logger.Debug("neighbour not answered", "error", err) // it asks another, or again
	}
}
