// Package storeemulator is an in-memory stand-in for storekeeper.Keeper in tests of
// its users. It injects outages and writes that end in doubt.
package storeemulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// Keeper implements the methods of storekeeper.Keeper that its users need.
type Keeper struct {
	rows *rowemulator.Store

	mu           sync.Mutex
	random       *rand.Rand
	down         bool
	inDoubtShare float64 // share of writes, 0 to 1
}

// NewKeeper returns an empty store without faults.
func NewKeeper(random *rand.Rand) *Keeper {
	return &Keeper{rows: rowemulator.New(), random: random}
}

// Rows returns all rows of a table.
func (k *Keeper) Rows(table string) []rowstore.Row { return k.rows.Rows(table) }

// SetDown makes the store unavailable, or ends that.
func (k *Keeper) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// Down returns whether the store is unavailable.
func (k *Keeper) Down() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down
}

// SetInDoubtShare sets the share (0 to 1) of writes that return ErrInDoubt. Half of
// them take effect.
func (k *Keeper) SetInDoubtShare(share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inDoubtShare = share
}

// drawOutcome draws whether a write ends in doubt, and whether it takes effect.
func (k *Keeper) drawOutcome() (doubted, effective bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.random.Float64() >= k.inDoubtShare {
		return false, true
	}
	return true, k.random.IntN(2) != 0
}

// Transact executes a write, subject to the injected faults, and returns the new
// version of its rows.
func (k *Keeper) Transact(_ context.Context, w storekeeper.Write) (uint64, error) {
	if k.Down() {
		return 0, storekeeper.ErrNotWritten
	}
	doubted, effective := k.drawOutcome()
	if !effective {
		return 0, storekeeper.ErrInDoubt
	}
	snapshot, err := k.rows.Apply(w.Tx)
	switch {
	case doubted:
		return 0, storekeeper.ErrInDoubt
	case errors.Is(err, rowstore.ErrConflict):
		return 0, storekeeper.ErrConflict
	case err != nil:
		return 0, fmt.Errorf("%w: %w", storekeeper.ErrNotWritten, err)
	default:
		return snapshot.Version, nil
	}
}

// Read returns the rows with the given keys. A missing row has only its key.
func (k *Keeper) Read(ctx context.Context, purpose storekeeper.Purpose, keys ...rowstore.Key) ([]rowstore.Row, error) {
	rows := make([]rowstore.Row, 0, len(keys))
	for _, key := range keys {
		found, _, err := k.Scan(ctx, purpose, storekeeper.RowSpan(key))
		if err != nil {
			return nil, err
		}
		rows = append(rows, append(found, rowstore.Row{Key: key})[0])
	}
	return rows, nil
}

// Scan returns the first page of a span, and the name at which the next page starts,
// or "" if there is none.
func (k *Keeper) Scan(
	ctx context.Context, _ storekeeper.Purpose, span storekeeper.Span,
) (rows []rowstore.Row, next string, err error) {
	if k.Down() {
		return nil, "", storekeeper.ErrNotRead
	}
	page, next, err := k.rows.Range(ctx, span.Table, span.Part, span.From, span.To)
	return page.Rows, next, err
}

// PutObject stores an object.
func (k *Keeper) PutObject(ctx context.Context, _ storekeeper.Purpose, name string, body []byte) error {
	if k.Down() {
		return storekeeper.ErrInDoubt
	}
	return k.rows.PutObject(ctx, name, body)
}

// GetObject returns an object, or ErrNotFound.
func (k *Keeper) GetObject(ctx context.Context, _ storekeeper.Purpose, name string) ([]byte, error) {
	if k.Down() {
		return nil, storekeeper.ErrNotRead
	}
	body, err := k.rows.GetObject(ctx, name)
	if errors.Is(err, rowstore.ErrNotFound) {
		return nil, storekeeper.ErrNotFound
	}
	return body, err
}
