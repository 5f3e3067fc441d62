package fleetidentifier

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/repeater"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// Table is the store's table with the identity. It has a table of its own, so that VMs of an earlier
	// release don't read it.
	Table = "fleet"
	// Part is the part of the store that holds the row.
	Part = "fleet"
	// Row is the name of the row.
	Row = "identity"
	// callTimeout bounds one call of the store. It doubles with each failure, up to maxCallTimeout, as many VMs
	// that start together may share a narrow link.
	callTimeout    = 1500 * time.Millisecond
	maxCallTimeout = 6 * time.Second
	// createSpread is the time over which the VMs of a fleet that starts try to create the row.
	createSpread = time.Second
	// recheckInterval is the mean time between two reads of the row. minRecheckDelay bounds the
	// reads that failures of the store cause.
	recheckInterval = 30 * time.Second
	minRecheckDelay = time.Second
)

// retryBackoff determines the delays after failed reads.
var retryBackoff = sleeper.Backoff{Initial: 500 * time.Millisecond, Max: 4 * time.Second}

// errMissing means that the store has no identity.
var errMissing = errors.New("store without the identity of a fleet")

// errMalformed means that the row in the store can't be read.
var errMalformed = errors.New("malformed identity of a fleet")

// record is the value of the row.
type record struct {
	Identity uint64 `cbor:"identity"`
}

var key = rowstore.Key{Table: Table, Part: Part, Name: Row}

// Identifier reads the identity of the fleet from the store, and creates it if there is none yet. Later
// it checks that the store is still the same.
type Identifier struct {
	store   rowstore.Store
	fleet   *Fleet
	onOther func(error)
	logger  *slog.Logger
	reads   *repeater.Repeater

	// Used by Run only.
	failures  int
	notBefore time.Time // of the next read
	hasLogged bool      // that the store has lost the identity
}

// NewIdentifier returns an Identifier. The store must be that of this VM itself, not through a peer VM, which
// could be of another fleet. onOther is called with the reason when this process must not go on.
func NewIdentifier(store rowstore.Store, fleet *Fleet, onOther func(error), logger *slog.Logger) *Identifier {
	return &Identifier{store: store, fleet: fleet, onOther: onOther, logger: logger, reads: repeater.New()}
}

// Run identifies the fleet, and checks the store until the context ends.
func (i *Identifier) Run(ctx context.Context) { i.reads.Run(ctx, i.step) }

// Recheck has the identity read soon. It is called once a store that has failed is back, since another store
// at the same address first ends the connections to the one before. It doesn't block.
func (i *Identifier) Recheck() { i.reads.Wake() }

// step reads the identity unless it was read a moment ago, and returns the time until the next read.
func (i *Identifier) step(ctx context.Context) time.Duration {
	if wait := time.Until(i.notBefore); wait > 0 {
		return wait
	}
	err := i.identify(ctx)
	i.notBefore = time.Now().Add(minRecheckDelay)
	switch {
	case err == nil:
		i.failures, i.hasLogged = 0, false
		return recheckInterval/2 + rand.N(recheckInterval)
	case errors.Is(err, ErrOtherStore), errors.Is(err, ErrOtherFleet):
		i.onOther(err)
	case errors.Is(err, errMissing), errors.Is(err, errMalformed):
		i.logOnce(err)
	default:
		i.logger.Debug("reading the identity of the fleet failed", "error", err) // the watchers log an unavailable store
	}
	i.failures++
	delay := retryBackoff.Delay(i.failures - 1)
	return delay/2 + rand.N(delay)
}

// logOnce logs that the store has no valid identity, once until it has.
func (i *Identifier) logOnce(err error) {
	if !i.hasLogged {
		i.hasLogged = true
		i.logger.Error("fleet not identified", "error", err, "known", i.fleet.Identity())
	}
}

// identify reads the identity. If there is none, it creates it, unless this process has read it before. One that peer
// VMs have named is no reason not to: if the store is new, they are of another fleet.
func (i *Identifier) identify(ctx context.Context) error {
	identity, err := i.read(ctx)
	if errors.Is(err, errMissing) && !i.fleet.isConfirmed() {
		identity, err = i.create(ctx)
	}
	if err != nil {
		return err
	}
	return i.fleet.Learn(identity)
}

func (i *Identifier) timeout() time.Duration {
	return sleeper.Backoff{Initial: callTimeout, Max: maxCallTimeout}.Delay(i.failures)
}

// read returns the identity, errMissing if the store has none, errMalformed, or an error of the store.
func (i *Identifier) read(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, i.timeout())
	defer cancel()
	page, _, err := i.store.Range(ctx, Table, Part, Row, Row+"\x00")
	if err != nil {
		return 0, fmt.Errorf("read identity of the fleet: %w", err)
	}
	for _, row := range page.Rows {
		if row.Name == Row && !row.Deleted {
			return decode(row)
		}
	}
	return 0, errMissing
}

// create creates the identity unless another VM is faster, and returns the one that holds.
func (i *Identifier) create(ctx context.Context) (uint64, error) {
	if !sleeper.Sleep(ctx, rand.N(createSpread)) {
		return 0, ctx.Err() //nolint:wrapcheck // the process ends
	}
	if identity, err := i.read(ctx); !errors.Is(err, errMissing) {
		return identity, err
	}
	identity := max(rand.Uint64(), 1)
	value, err := cbor.Marshal(record{Identity: identity})
	if err != nil {
		return 0, fmt.Errorf("encode identity of the fleet: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, i.timeout())
	defer cancel()
	_, err = i.store.Transact(ctx, rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: key}}, Puts: []rowstore.Put{{Key: key, Value: value}},
	})
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return identity, nil
	case errors.As(err, &conflict):
		if row, found := conflict.Current(key); found && row.Version > 0 {
			return decode(row)
		}
	}
	return 0, fmt.Errorf("create identity of the fleet: %w", err)
}

func decode(row rowstore.Row) (uint64, error) {
	var r record
	if err := lenientdecoder.Decode(row.Value, &r); err != nil {
		return 0, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if r.Identity == 0 {
		return 0, errMalformed
	}
	return r.Identity, nil
}
