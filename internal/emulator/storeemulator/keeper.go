// Package storeemulator stands in for the store in tests: Platform for the
// platform's table service as the store client sees it, and Keeper for the
// store client as those who keep something see it. Both lose answers and go
// down on demand.
package storeemulator

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/fescuespindle/fescuespindle/internal/emulator/platformemulator"
	"github.com/fescuespindle/fescuespindle/internal/platform"
	"github.com/fescuespindle/fescuespindle/internal/storekeeper"
)

// Keeper stands in for a storekeeper.Keeper.
type Keeper struct {
	table *platformemulator.Table

	mu      sync.Mutex
	random  *rand.Rand
	objects map[string][]byte
	down    bool
	doubted float64
}

// NewKeeper returns an empty store without faults.
func NewKeeper(random *rand.Rand) *Keeper {
	return &Keeper{table: platformemulator.NewTable(), random: random, objects: map[string][]byte{}}
}

// Table returns the rows.
func (k *Keeper) Table() *platformemulator.Table { return k.table }

// SetDown takes the store down or brings it back.
func (k *Keeper) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// Down tells whether the store is down.
func (k *Keeper) Down() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down
}

// SetDoubted sets the share of writes that end in doubt. Half of them take
// effect.
func (k *Keeper) SetDoubted(share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doubted = share
}

func (k *Keeper) drawDoubt() (doubted, effective bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.random.Float64() >= k.doubted {
		return false, true
	}
	return true, k.random.IntN(2) != 0
}

// Transact carries a write out, unless a fault prevents it.
func (k *Keeper) Transact(_ context.Context, w storekeeper.Write) (uint64, error) {
	if k.Down() {
		return 0, storekeeper.ErrNotWritten
	}
	doubted, effective := k.drawDoubt()
	if !effective {
		return 0, storekeeper.ErrUnknown
	}
	reply := k.table.Transact(platform.Transaction{Conditions: w.Conditions, Puts: w.Puts, Deletes: w.Deletes})
	switch {
	case doubted:
		return 0, storekeeper.ErrUnknown
	case !reply.Committed:
		return 0, storekeeper.ErrConflict
	default:
		return reply.Version, nil
	}
}

// Read returns rows.
func (k *Keeper) Read(_ context.Context, _ storekeeper.Purpose, keys ...string) ([]platform.Row, error) {
	if k.Down() {
		return nil, storekeeper.ErrNotRead
	}
	return k.table.Read(keys), nil
}

// Scan returns rows whose keys begin with a prefix.
func (k *Keeper) Scan(
	_ context.Context, _ storekeeper.Purpose, prefix, after string, limit int,
) ([]platform.Row, error) {
	if k.Down() {
		return nil, storekeeper.ErrNotRead
	}
	return k.table.Scan(platform.ScanRequest{Prefix: prefix, After: after, Limit: limit}), nil
}

// PutObject keeps an object.
func (k *Keeper) PutObject(_ context.Context, _ storekeeper.Purpose, key string, body []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return storekeeper.ErrUnknown
	}
	k.objects[key] = body
	return nil
}

// GetObject returns an object, or nil.
func (k *Keeper) GetObject(_ context.Context, _ storekeeper.Purpose, key string) ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return nil, storekeeper.ErrNotRead
	}
	return k.objects[key], nil
}
