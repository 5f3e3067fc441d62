// Package memberkeeper keeps this VM's row in the store, and the list of other VMs
// that the rows of all of them are.
//
// A row is written at the start, when the VM leaves, and again after a time that
// grows with the fleet, so that all VMs together write at the same rate in a fleet
// of any size. The list therefore tells of a lost VM late. It says whom to speak
// to; whether the owner of a job lives is told by the job's own record.
package memberkeeper

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// Table has a row for each VM.
	Table = "vms"
	// Part is where the rows lie. Servers and operators write to the part with an
	// empty name, which must not be crowded.
	Part = "vms"
	// refreshShare is the time between two writes of a row for each VM of the fleet,
	// within bounds.
	refreshShare = 120 * time.Millisecond
	minRefresh   = 2 * time.Second
	maxRefresh   = time.Minute
	// retryTime is the mean pause after a row that could not be written.
	retryTime = 500 * time.Millisecond
	// lapseRefreshes and lapseMargin are how long a row may stay unchanged before
	// its VM is taken to be gone; after removalLapses times that it is removed.
	lapseRefreshes = 3
	lapseMargin    = 2 * time.Second
	removalLapses  = 4
	// sweepTime is the time between two looks for VMs that are gone.
	sweepTime = 2 * time.Second
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
)

// Member is a VM as its row tells.
type Member struct {
	VM     string `cbor:"vm"`
	IP     string `cbor:"ip"`
	Domain string `cbor:"domain"`
	// Boot is new at each start of the process.
	Boot uint64 `cbor:"boot"`
	// Leaving VMs take over no work.
	Leaving bool `cbor:"leaving"`
}

// sighting is what is known of one row.
type sighting struct {
	member  Member
	version uint64
	changed time.Time
}

// Keeper keeps the row and the list. It is the sink of a watcher of the table.
type Keeper struct {
	store  rowstore.Store
	logger *slog.Logger
	onList func([]Member)
	wake   chan struct{}

	mu    sync.Mutex
	self  Member
	seen  map[string]sighting
	blind time.Time // since when the table could not be read; zero if it can
	told  []Member  // the list as it was last handed on
}

// New returns a keeper. The function is called with all other VMs that live
// whenever these have changed.
func New(store rowstore.Store, self Member, onList func([]Member), logger *slog.Logger) *Keeper {
	return &Keeper{
		store: store, self: self, onList: onList, logger: logger, seen: map[string]sighting{}, wake: make(chan struct{}, 1),
	}
}

// SetLeaving tells others that this VM is about to end.
func (k *Keeper) SetLeaving() {
	k.mu.Lock()
	k.self.Leaving = true
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run keeps the VM's row until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-timer.C:
		}
		timer.Reset(k.write(ctx))
	}
}

// Sweep looks for VMs that are gone until the context ends.
func (k *Keeper) Sweep(ctx context.Context) {
	for sleeper.Sleep(ctx, sweepTime) {
		now := time.Now()
		k.tell(now)
		for _, row := range k.removable(now) {
			if err := k.remove(ctx, row); err != nil {
				k.logger.Debug("row of a VM that is gone not removed", "vm", row.Name, "error", err) // the next sweep tries again
			}
		}
	}
}

// write writes the VM's row and returns when it is written next.
func (k *Keeper) write(ctx context.Context) time.Duration {
	if err := k.put(ctx); err != nil {
		k.logger.Debug("VM's row not written", "error", err) // the watchers log a lost store
		return retryTime/2 + rand.N(retryTime)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refresh()*3/4 + rand.N(k.refresh()/4)
}

func (k *Keeper) put(ctx context.Context) error {
	k.mu.Lock()
	value, err := cbor.Marshal(k.self)
	k.mu.Unlock()
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	return k.transact(ctx, rowstore.Tx{Puts: []rowstore.Put{{Key: keyOf(k.self.VM), Value: value}}})
}

// remove removes a row that is still as it was seen.
func (k *Keeper) remove(ctx context.Context, row rowstore.Condition) error {
	return k.transact(ctx, rowstore.Tx{Conditions: []rowstore.Condition{row}, Removes: []rowstore.Key{row.Key}})
}

func (k *Keeper) transact(ctx context.Context, tx rowstore.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := k.store.Transact(ctx, tx); err != nil {
		return fmt.Errorf("write to VM list: %w", err)
	}
	return nil
}

func keyOf(vm string) rowstore.Key { return rowstore.Key{Table: Table, Part: Part, Name: vm} }

// refresh returns the longest time between two writes of a row. The caller holds
// mu.
func (k *Keeper) refresh() time.Duration {
	return min(max(time.Duration(len(k.seen))*refreshShare, minRefresh), maxRefresh)
}

// lapse returns how long a row may stay unchanged. The caller holds mu.
func (k *Keeper) lapse() time.Duration { return lapseRefreshes*k.refresh() + lapseMargin }

// Replace implements watcher.Sink.
func (k *Keeper) Replace(rows []rowstore.Row) { k.replace(rows, time.Now()) }

func (k *Keeper) replace(rows []rowstore.Row, now time.Time) {
	k.mu.Lock()
	if !k.blind.IsZero() {
		k.forgive(now.Sub(k.blind))
		k.blind = time.Time{}
	}
	old := k.seen
	k.seen = make(map[string]sighting, len(rows))
	for _, row := range rows {
		k.seen[row.Name] = old[row.Name]
		k.sight(row, now)
	}
	k.mu.Unlock()
	k.tell(now)
}

// Change implements watcher.Sink.
func (k *Keeper) Change(rows []rowstore.Row) { k.change(rows, time.Now()) }

func (k *Keeper) change(rows []rowstore.Row, now time.Time) {
	k.mu.Lock()
	for _, row := range rows {
		if row.Deleted {
			delete(k.seen, row.Name)
			continue
		}
		k.sight(row, now)
	}
	k.mu.Unlock()
	k.tell(now)
}

// Failed implements watcher.Sink.
func (k *Keeper) Failed(error) { k.lost(time.Now()) }

func (k *Keeper) lost(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.blind.IsZero() {
		k.blind = now
	}
}

// forgive leaves time in which nothing could be seen to change out of account.
// The caller holds mu.
func (k *Keeper) forgive(blind time.Duration) {
	for vm, s := range k.seen {
		s.changed = s.changed.Add(blind)
		k.seen[vm] = s
	}
}

// sight takes in one row. The caller holds mu.
func (k *Keeper) sight(row rowstore.Row, now time.Time) {
	known := k.seen[row.Name]
	if known.version == row.Version {
		return
	}
	s := sighting{version: row.Version, changed: now}
	if err := cbor.Unmarshal(row.Value, &s.member); err != nil {
		k.logger.Warn("VM row not understood", "row", row.Name, "error", err)
	}
	k.seen[row.Name] = s
}

// tell hands the list on if it has changed.
func (k *Keeper) tell(now time.Time) {
	k.mu.Lock()
	var others []Member
	for _, vm := range slices.Sorted(maps.Keys(k.seen)) {
		if s := k.seen[vm]; vm != k.self.VM && k.isListed(s, now) {
			others = append(others, s.member)
		}
	}
	changed := !slices.Equal(others, k.told)
	k.told = others
	k.mu.Unlock()
	if changed {
		k.onList(others)
	}
}

// isListed tells whether a VM is taken to live. The caller holds mu.
func (k *Keeper) isListed(s sighting, now time.Time) bool {
	return !k.blind.IsZero() || now.Sub(s.changed) < k.lapse()
}

// removable returns the rows of VMs that are gone for good, if this VM is the
// one to remove them.
func (k *Keeper) removable(now time.Time) []rowstore.Condition {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.blind.IsZero() {
		return nil
	}
	var rows []rowstore.Condition
	for vm, s := range k.seen {
		if now.Sub(s.changed) > removalLapses*k.lapse() && k.isFirst(vm, now) {
			rows = append(rows, rowstore.Condition{Key: keyOf(vm), Version: s.version})
		}
	}
	return rows
}

// isFirst tells whether this VM comes first for a row by a hash of their names.
// The caller holds mu.
func (k *Keeper) isFirst(row string, now time.Time) bool {
	own := weigher.Weight(row, k.self.VM)
	for vm, s := range k.seen {
		if vm != k.self.VM && k.isListed(s, now) && weigher.Weight(row, vm) < own {
			return false
		}
	}
	return true
}

// Replaced tells whether the process with a boot number surely has ended, because
// another one of the same VM has written to the store after it: after the row
// version at which it is known to have lived.
func (k *Keeper) Replaced(vm string, boot, version uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if vm == k.self.VM {
		return boot != k.self.Boot
	}
	s, found := k.seen[vm]
	return found && s.member.Boot != boot && s.version > version
}

// Successors returns the VMs that may take over work: all that live and are not
// leaving, this one among them.
func (k *Keeper) Successors(now time.Time) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var vms []string
	if !k.self.Leaving {
		vms = append(vms, k.self.VM)
	}
	for vm, s := range k.seen {
		if vm != k.self.VM && k.isListed(s, now) && !s.member.Leaving {
			vms = append(vms, vm)
		}
	}
	return vms
}
