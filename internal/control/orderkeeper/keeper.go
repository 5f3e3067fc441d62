// Package orderkeeper keeps in the platform's store who may order an upstream,
// with a fencing number that rises with each claim, and how many upstreams of
// a deployment may be changed at a time.
package orderkeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/orderer"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// Errors of this layer.
var (
	// ErrHeld means that another process may be ordering the upstream.
	ErrHeld = errors.New("upstream is being ordered by another VM")
	// ErrNewer means that an order came from a newer configuration.
	ErrNewer = errors.New("upstream was ordered by a newer configuration")
	// ErrNoPermit means that enough upstreams are being changed already.
	ErrNoPermit = errors.New("enough upstreams are being changed")
	// ErrStore means that the store can't be reached.
	ErrStore = errors.New("store unavailable")
)

const (
	// longestOrder is how long an order may be on its way or be carried out. An
	// upstream that ignores fencing numbers gets no order from a new holder
	// before that time has passed.
	longestOrder = 90 * time.Second
	// holderTimeout is how long a claim whose upstream checks fencing numbers
	// is left alone.
	holderTimeout = 20 * time.Second
	// changeShare bounds the upstreams changed at a time, as a divisor.
	changeShare = 5
	noPermit    = -1
)

// orderRow is the table row of an upstream's orders.
type orderRow struct {
	Fencing       uint64 `json:"fencing"`
	Holder        string `json:"holder,omitempty"`
	ConfigVersion uint64 `json:"configVersion"`
}

// permitRow is the table row of one permit to change an upstream.
type permitRow struct {
	Upstream string `json:"upstream"`
}

// Store is the store as this package needs it.
type Store interface {
	Transact(context.Context, storekeeper.Write) (uint64, error)
	Read(context.Context, storekeeper.Purpose, ...rowstore.Key) ([]rowstore.Row, error)
}

// Keeper claims upstreams for one process.
type Keeper struct {
	store  Store
	holder string
	now    func() time.Time

	mu   sync.Mutex
	seen map[rowstore.Key]sighting
}

// sighting is when this process first saw a row in a version. Time is measured
// by this process alone, so clocks need not agree.
type sighting struct {
	version uint64
	since   time.Time
}

// New returns a keeper for a process.
func New(store Store, holder string, now func() time.Time) *Keeper {
	return &Keeper{store: store, holder: holder, now: now, seen: map[rowstore.Key]sighting{}}
}

const (
	orderTable  = "orders"
	permitTable = "permits"
	// part holds orders and permits, which are taken together.
	part = "orders"
)

func orderKey(upstream string) rowstore.Key {
	return rowstore.Key{Table: orderTable, Part: part, Name: upstream}
}

func permitKey(w orderer.Wish, slot int) rowstore.Key {
	return rowstore.Key{Table: permitTable, Part: part, Name: fmt.Sprintf("%s/%s/%03d", w.Deployment, w.Domain, slot)}
}

// unchangedFor returns how long a row has had its version, as far as this
// process has seen.
func (k *Keeper) unchangedFor(key rowstore.Key, version uint64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	s, found := k.seen[key]
	if !found || s.version != version {
		k.seen[key] = sighting{version: version, since: now}
		return 0
	}
	return now.Sub(s.since)
}

// Claim takes the right to order an upstream. A claim that another process
// still holds is taken over once that process can't be ordering any more: by a
// higher fencing number where the upstream checks it, and after the longest
// order where it doesn't.
func (k *Keeper) Claim(ctx context.Context, c orderer.Claim) (orderer.Ticket, error) {
	slots := 0
	if c.Disturbs {
		slots = permits(c.Wish)
	}
	keys := []rowstore.Key{orderKey(c.Wish.Upstream)}
	for slot := range slots {
		keys = append(keys, permitKey(c.Wish, slot))
	}
	rows, err := k.store.Read(ctx, storekeeper.PurposeOrder, keys...)
	if err != nil {
		return orderer.Ticket{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	order, err := k.checkOrder(rows[0], c.Wish)
	if err != nil {
		return orderer.Ticket{}, err
	}
	slot, err := k.freeSlot(rows[1:], c)
	if err != nil {
		return orderer.Ticket{}, err
	}
	return k.write(ctx, c, order, rows, slot)
}

// permits returns how many upstreams of a pool may be changed at a time.
func permits(w orderer.Wish) int {
	return max(1, min(w.Pool-w.MinServing, w.Pool/changeShare))
}

func (k *Keeper) checkOrder(row rowstore.Row, w orderer.Wish) (orderRow, error) {
	var order orderRow
	if row.Version == 0 {
		return order, nil
	}
	if err := json.Unmarshal(row.Value, &order); err != nil {
		return order, fmt.Errorf("decode order row: %w", err)
	}
	if order.ConfigVersion > w.ConfigVersion {
		return order, ErrNewer
	}
	if order.Holder == "" || order.Holder == k.holder {
		return order, nil
	}
	wait := longestOrder
	if w.Checked {
		wait = holderTimeout
	}
	if k.unchangedFor(row.Key, row.Version) < wait {
		return order, ErrHeld
	}
	return order, nil
}

// freeSlot returns a permit that nobody has, or that its holder has left behind.
func (k *Keeper) freeSlot(rows []rowstore.Row, c orderer.Claim) (int, error) {
	if !c.Disturbs {
		return noPermit, nil
	}
	for slot, row := range rows {
		var permit permitRow
		if row.Version != 0 {
			if err := json.Unmarshal(row.Value, &permit); err != nil {
				return 0, fmt.Errorf("decode permit row: %w", err)
			}
		}
		mine := permit.Upstream == "" || permit.Upstream == c.Wish.Upstream
		if mine || k.unchangedFor(row.Key, row.Version) >= longestOrder {
			return slot, nil
		}
	}
	return 0, ErrNoPermit
}

func (k *Keeper) write(
	ctx context.Context, c orderer.Claim, order orderRow, rows []rowstore.Row, slot int,
) (orderer.Ticket, error) {
	order.Fencing++
	order.Holder = k.holder
	order.ConfigVersion = c.Wish.ConfigVersion
	write := storekeeper.Write{
		Purpose: storekeeper.PurposeOrder, Priority: storekeeper.PriorityProgress,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: rows[0].Key, Version: rows[0].Version}},
			Puts:       []rowstore.Put{rowstore.PutJSON(rows[0].Key, order)},
		},
	}
	if slot != noPermit {
		row := rows[1+slot]
		write.Conditions = append(write.Conditions, rowstore.Condition{Key: row.Key, Version: row.Version})
		write.Puts = append(write.Puts, rowstore.PutJSON(row.Key, permitRow{Upstream: c.Wish.Upstream}))
	}
	if _, err := k.store.Transact(ctx, write); err != nil {
		if errors.Is(err, storekeeper.ErrConflict) {
			return orderer.Ticket{}, ErrHeld
		}
		return orderer.Ticket{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	return orderer.Ticket{Fencing: order.Fencing, Slot: slot}, nil
}

// Release gives a claim and its permit back, if they are still this process's.
func (k *Keeper) Release(ctx context.Context, w orderer.Wish, t orderer.Ticket) error {
	keys := []rowstore.Key{orderKey(w.Upstream)}
	if t.Slot != noPermit {
		keys = append(keys, permitKey(w, t.Slot))
	}
	rows, err := k.store.Read(ctx, storekeeper.PurposeOrder, keys...)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
	var order orderRow
	if err := json.Unmarshal(rows[0].Value, &order); err != nil || order.Fencing != t.Fencing {
		return nil //nolint:nilerr // another process has taken the claim over
	}
	order.Holder = ""
	write := storekeeper.Write{
		Purpose: storekeeper.PurposeOrder, Priority: storekeeper.PriorityProgress,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: rows[0].Key, Version: rows[0].Version}},
			Puts:       []rowstore.Put{rowstore.PutJSON(rows[0].Key, order)},
		},
	}
	if t.Slot != noPermit {
		write.Conditions = append(write.Conditions, rowstore.Condition{Key: rows[1].Key, Version: rows[1].Version})
		write.Puts = append(write.Puts, rowstore.PutJSON(rows[1].Key, permitRow{}))
	}
	if _, err := k.store.Transact(ctx, write); err != nil && !errors.Is(err, storekeeper.ErrConflict) {
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
	return nil
}
