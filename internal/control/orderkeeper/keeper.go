// Package orderkeeper stores claims on upstreams in the platform's store. Each
// claim raises the upstream's fencing number. Permits limit how many upstreams of a
// deployment may be changed at a time in each failure domain.
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

// Errors returned by Keeper.
var (
	// ErrHeld means that another process holds the claim, or has just taken it or the
	// permit.
	ErrHeld = errors.New("upstream is being ordered by another VM")
	// ErrNewerConfig means that the last claim was made under a newer configuration.
	ErrNewerConfig = errors.New("upstream was ordered by a newer configuration")
	// ErrNoPermit means that every permit of the deployment in the domain is taken.
	ErrNoPermit = errors.New("enough upstreams are being changed")
	// ErrStore means that a call to the store failed.
	ErrStore = errors.New("store unavailable")
)

const (
	// maxOrderDuration is how long an order may be in transit or in progress. An
	// upstream that ignores fencing numbers gets no order from a new holder before
	// that time has passed.
	maxOrderDuration = 90 * time.Second
	// holderTimeout is how long another process's claim is respected if the upstream
	// checks fencing numbers.
	holderTimeout = 20 * time.Second
	// changeDivisor limits disruptive orders to 1/changeDivisor of a deployment's
	// upstreams in a domain at a time.
	changeDivisor = 5
	noPermit      = -1
)

// orderRow is the stored row of an upstream's claim.
type orderRow struct {
	Fencing       uint64 `json:"fencing"`
	Holder        string `json:"holder,omitempty"`
	ConfigVersion uint64 `json:"configVersion"`
}

// permitRow is the stored row of one permit; Upstream is empty if it is free.
type permitRow struct {
	Upstream string `json:"upstream"`
}

// Store reads and writes rows of the platform's store.
type Store interface {
	Transact(context.Context, storekeeper.Write) (uint64, error)
	Read(context.Context, storekeeper.Purpose, ...rowstore.Key) ([]rowstore.Row, error)
}

// Keeper claims and releases upstreams for one process.
type Keeper struct {
	store  Store
	holder string
	now    func() time.Time

	mu       sync.Mutex
	observed map[rowstore.Key]observation
}

// observation is when this process first saw a row at a version. The time is that
// of the local clock, so that the clocks of VMs need not agree.
type observation struct {
	version uint64
	since   time.Time
}

// New returns a Keeper for the process that holder names.
func New(store Store, holder string, now func() time.Time) *Keeper {
	return &Keeper{store: store, holder: holder, now: now, observed: map[rowstore.Key]observation{}}
}

const (
	orderTable  = "orders"
	permitTable = "permits"
	// part is the part of the store that holds claims and permits. They share it because
	// one transaction writes them together.
	part = "orders"
)

func orderKey(upstream string) rowstore.Key {
	return rowstore.Key{Table: orderTable, Part: part, Name: upstream}
}

func permitKey(d orderer.DesiredState, permit int) rowstore.Key {
	return rowstore.Key{Table: permitTable, Part: part, Name: fmt.Sprintf("%s/%s/%03d", d.Deployment, d.Domain, permit)}
}

// unchangedFor returns how long this process has seen a row at the same version.
func (k *Keeper) unchangedFor(key rowstore.Key, version uint64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	s, found := k.observed[key]
	if !found || s.version != version {
		k.observed[key] = observation{version: version, since: now}
		return 0
	}
	return now.Sub(s.since)
}

// Claim acquires the right to send orders to an upstream, and a permit if the order
// is disruptive. A claim of another process is taken over once its row has not
// changed for holderTimeout if the upstream checks fencing numbers, since the higher
// number then blocks late orders, and for maxOrderDuration if it doesn't. Claim
// returns ErrHeld, ErrNewerConfig, ErrNoPermit or ErrStore.
func (k *Keeper) Claim(ctx context.Context, c orderer.Claim) (orderer.Grant, error) {
	permits := 0
	if c.Disruptive {
		permits = permitCount(c.Desired)
	}
	keys := []rowstore.Key{orderKey(c.Desired.Upstream)}
	for permit := range permits {
		keys = append(keys, permitKey(c.Desired, permit))
	}
	rows, err := k.store.Read(ctx, storekeeper.PurposeOrder, keys...)
	if err != nil {
		return orderer.Grant{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	order, err := k.checkClaimable(rows[0], c.Desired)
	if err != nil {
		return orderer.Grant{}, err
	}
	permit, err := k.findPermit(rows[1:], c)
	if err != nil {
		return orderer.Grant{}, err
	}
	return k.write(ctx, c, order, rows, permit)
}

// permitCount returns how many upstreams of a deployment may be changed at a time in
// one failure domain.
func permitCount(d orderer.DesiredState) int {
	return max(1, min(d.Total-d.MinServing, d.Total/changeDivisor))
}

func (k *Keeper) checkClaimable(row rowstore.Row, d orderer.DesiredState) (orderRow, error) {
	var order orderRow
	if row.Version == 0 {
		return order, nil
	}
	if err := json.Unmarshal(row.Value, &order); err != nil {
		return order, fmt.Errorf("decode order row: %w", err)
	}
	if order.ConfigVersion > d.ConfigVersion {
		return order, ErrNewerConfig
	}
	if order.Holder == "" || order.Holder == k.holder {
		return order, nil
	}
	wait := maxOrderDuration
	if d.ChecksFencing {
		wait = holderTimeout
	}
	if k.unchangedFor(row.Key, row.Version) < wait {
		return order, ErrHeld
	}
	return order, nil
}

// findPermit returns the number of a permit that is free, is already held for the
// same upstream, or whose row has not changed for maxOrderDuration because its
// holder never released it. It returns noPermit if the claim needs none.
func (k *Keeper) findPermit(rows []rowstore.Row, c orderer.Claim) (int, error) {
	if !c.Disruptive {
		return noPermit, nil
	}
	for n, row := range rows {
		var permit permitRow
		if row.Version != 0 {
			if err := json.Unmarshal(row.Value, &permit); err != nil {
				return 0, fmt.Errorf("decode permit row: %w", err)
			}
		}
		available := permit.Upstream == "" || permit.Upstream == c.Desired.Upstream
		if available || k.unchangedFor(row.Key, row.Version) >= maxOrderDuration {
			return n, nil
		}
	}
	return 0, ErrNoPermit
}

func (k *Keeper) write(
	ctx context.Context, c orderer.Claim, order orderRow, rows []rowstore.Row, permit int,
) (orderer.Grant, error) {
	order.Fencing++
	order.Holder = k.holder
	order.ConfigVersion = c.Desired.ConfigVersion
	write := storekeeper.Write{
		Purpose: storekeeper.PurposeOrder, Priority: storekeeper.PriorityProgress,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: rows[0].Key, Version: rows[0].Version}},
			Puts:       []rowstore.Put{rowstore.PutJSON(rows[0].Key, order)},
		},
	}
	if permit != noPermit {
		row := rows[1+permit]
		write.Conditions = append(write.Conditions, rowstore.Condition{Key: row.Key, Version: row.Version})
		write.Puts = append(write.Puts, rowstore.PutJSON(row.Key, permitRow{Upstream: c.Desired.Upstream}))
	}
	if _, err := k.store.Transact(ctx, write); err != nil {
		if errors.Is(err, storekeeper.ErrConflict) {
			return orderer.Grant{}, ErrHeld
		}
		return orderer.Grant{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	return orderer.Grant{Fencing: order.Fencing, Permit: permit}, nil
}

// Release releases a claim and its permit, unless another process has taken them
// over.
func (k *Keeper) Release(ctx context.Context, d orderer.DesiredState, g orderer.Grant) error {
	keys := []rowstore.Key{orderKey(d.Upstream)}
	if g.Permit != noPermit {
		keys = append(keys, permitKey(d, g.Permit))
	}
	rows, err := k.store.Read(ctx, storekeeper.PurposeOrder, keys...)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
	var order orderRow
	if err := json.Unmarshal(rows[0].Value, &order); err != nil || order.Fencing != g.Fencing {
		return nil //nolint:nilerr // another process has taken over the claim
	}
	order.Holder = ""
	write := storekeeper.Write{
		Purpose: storekeeper.PurposeOrder, Priority: storekeeper.PriorityProgress,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: rows[0].Key, Version: rows[0].Version}},
			Puts:       []rowstore.Put{rowstore.PutJSON(rows[0].Key, order)},
		},
	}
	if g.Permit != noPermit {
		write.Conditions = append(write.Conditions, rowstore.Condition{Key: rows[1].Key, Version: rows[1].Version})
		write.Puts = append(write.Puts, rowstore.PutJSON(rows[1].Key, permitRow{}))
	}
	if _, err := k.store.Transact(ctx, write); err != nil && !errors.Is(err, storekeeper.ErrConflict) {
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
	return nil
}
