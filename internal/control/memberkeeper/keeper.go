// Package memberkeeper maintains this VM's row in the store's VM table and derives the
// list of live VMs from the rows of all VMs.
//
// A row is written at startup, when the VM starts to shut down, and then at an interval that
// grows with the fleet, so that the total write rate is the same for a fleet of any size.
// A lost VM therefore stays on the list for a while: for half a minute in a fleet of 90 VMs, for three minutes in one of
// 1,000. Whoever can't wait for that asks for a View, which also knows whose reports have stopped. The list serves to
// find peers; whether the owner of a job is alive follows from the job's own record.
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

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/repeater"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// Table is the store's table with one row for each VM.
	Table = "vms"
	// Part is the part of the store that holds the rows. It is separate because upstream
	// servers and operators write to the part with the empty name, which must not be
	// overloaded.
	Part = "vms"
	// refreshPerVM is the time between two writes of a row for each VM of the fleet. The
	// resulting interval is at least minRefreshInterval and at most maxRefreshInterval.
	refreshPerVM       = 120 * time.Millisecond
	minRefreshInterval = 2 * time.Second
	maxRefreshInterval = time.Minute
	// retryDelay is the mean delay after a failed write of the row.
	retryDelay = 500 * time.Millisecond
	// A VM counts as lost once its row has not changed for expiryRefreshes refresh
	// intervals plus expiryMargin. After removalExpiries times that period its row is
	// removed.
	expiryRefreshes = 3
	expiryMargin    = 2 * time.Second
	removalExpiries = 4
	// sweepInterval is the time between two checks for lost VMs.
	sweepInterval = 2 * time.Second
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
)

// Member is the content of a VM's row.
type Member struct {
	VM     string `cbor:"vm"`
	IP     string `cbor:"ip"`
	Domain string `cbor:"domain"`
	// Boot is the boot ID: a value that is new at each start of the process.
	Boot uint64 `cbor:"boot"`
	// Leaving is set once the VM is shutting down. It then takes over no jobs.
	Leaving bool `cbor:"leaving"`
}

// rowState is the last known content and version of one row, and the time at which a
// change of it was last seen.
type rowState struct {
	member    Member
	version   uint64
	changedAt time.Time
}

// Keeper writes this VM's row and maintains the list of live VMs. It is the sink of the
// watcher of the table.
type Keeper struct {
	store  rowstore.Store
	logger *slog.Logger
	onList func([]Member)
	writes *repeater.Repeater
	// reports returns whether a VM sends reports to this one at short intervals.
	reports func(vms int, m Member) bool

	mu              sync.Mutex
	self            Member
	rows            map[string]rowState
	unreadableSince time.Time            // when the table became unreadable; zero while it is readable
	isRead          bool                 // whether the table has been read
	heardAt         map[string]time.Time // when the last report of each VM arrived
	published       []Member             // the list last passed to onList
	isPublished     bool                 // whether a list that was read has been passed to onList
}

// Option sets one property of a Keeper.
type Option func(*Keeper)

// New returns a Keeper. onList is called with the live VMs other than this one once the table has been read,
// and whenever their list has changed.
func New(store rowstore.Store, self Member, onList func([]Member), logger *slog.Logger, options ...Option) *Keeper {
	k := &Keeper{
		store: store, self: self, onList: onList, logger: logger, rows: map[string]rowState{}, writes: repeater.New(),
		reports: func(int, Member) bool { return false }, heardAt: map[string]time.Time{},
	}
	for _, option := range options {
		option(k)
	}
	return k
}

// SetLeaving marks this VM as leaving and has its row written at once.
func (k *Keeper) SetLeaving() {
	k.mu.Lock()
	k.self.Leaving = true
	k.mu.Unlock()
	k.writes.Wake()
}

// Run writes this VM's row periodically until the context ends.
func (k *Keeper) Run(ctx context.Context) { k.writes.Run(ctx, k.write) }

// Sweep periodically updates the list and removes the rows of lost VMs until the context
// ends.
func (k *Keeper) Sweep(ctx context.Context) {
	for sleeper.Sleep(ctx, sweepInterval) {
		now := time.Now()
		k.publish(now)
		for _, row := range k.removable(now) {
			if err := k.remove(ctx, row); err != nil {
				k.logger.Debug("removing the row of a lost VM failed", "vm", row.Name, "error", err) // retried by the next sweep
			}
		}
	}
}

// write writes this VM's row and returns the delay until the next write.
func (k *Keeper) write(ctx context.Context) time.Duration {
	if err := k.put(ctx); err != nil {
		k.logger.Debug("writing the row of this VM failed", "error", err) // the watchers log an unavailable store
		return retryDelay/2 + rand.N(retryDelay)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refreshInterval()*3/4 + rand.N(k.refreshInterval()/4)
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

// remove removes a row if its version is still the given one.
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

// refreshInterval returns the longest time between two writes of a row. The caller must
// hold mu.
func (k *Keeper) refreshInterval() time.Duration {
	return min(max(time.Duration(len(k.rows))*refreshPerVM, minRefreshInterval), maxRefreshInterval)
}

// expiryTimeout returns how long a row may stay unchanged before its VM counts as lost.
// The caller must hold mu.
func (k *Keeper) expiryTimeout() time.Duration {
	return expiryRefreshes*k.refreshInterval() + expiryMargin
}

// Replace implements watcher.Sink.
func (k *Keeper) Replace(rows []rowstore.Row) { k.replace(rows, time.Now()) }

func (k *Keeper) replace(rows []rowstore.Row, now time.Time) {
	k.mu.Lock()
	if !k.unreadableSince.IsZero() {
		k.excludeOutage(now.Sub(k.unreadableSince))
		k.unreadableSince = time.Time{}
	}
	k.isRead = true
	old := k.rows
	k.rows = make(map[string]rowState, len(rows))
	for _, row := range rows {
		k.rows[row.Name] = old[row.Name]
		k.recordRow(row, now)
	}
	k.mu.Unlock()
	k.publish(now)
}

// Change implements watcher.Sink.
func (k *Keeper) Change(rows []rowstore.Row) { k.change(rows, time.Now()) }

func (k *Keeper) change(rows []rowstore.Row, now time.Time) {
	k.mu.Lock()
	for _, row := range rows {
		if row.Deleted {
			delete(k.rows, row.Name)
			delete(k.heardAt, row.Name)
			continue
		}
		k.recordRow(row, now)
	}
	k.mu.Unlock()
	k.publish(now)
}

// Failed implements watcher.Sink.
func (k *Keeper) Failed(error) { k.failed(time.Now()) }

func (k *Keeper) failed(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unreadableSince.IsZero() {
		k.unreadableSince = now
	}
}

// excludeOutage moves the time of the last change of every row forward by the length of an
// outage, as no change could be seen during it. The caller must hold mu.
func (k *Keeper) excludeOutage(outage time.Duration) {
	for vm, s := range k.rows {
		s.changedAt = s.changedAt.Add(outage)
		k.rows[vm] = s
	}
}

// recordRow updates the state of a row if its version has changed. The caller must hold
// mu.
func (k *Keeper) recordRow(row rowstore.Row, now time.Time) {
	last := k.rows[row.Name]
	if last.version == row.Version {
		return
	}
	s := rowState{version: row.Version, changedAt: now}
	if err := lenientdecoder.Decode(row.Value, &s.member); err != nil {
		k.logger.Warn("malformed VM row", "row", row.Name, "error", err)
	}
	k.rows[row.Name] = s
}

// publish passes the list of live VMs to onList if it has changed, or is the first one that was read.
func (k *Keeper) publish(now time.Time) {
	k.mu.Lock()
	var live []Member
	for _, vm := range slices.Sorted(maps.Keys(k.rows)) {
		if s := k.rows[vm]; vm != k.self.VM && k.isLive(s, now) {
			live = append(live, s.member)
		}
	}
	changed := !slices.Equal(live, k.published) || k.isRead != k.isPublished
	k.published, k.isPublished = live, k.isRead
	k.mu.Unlock()
	if changed {
		k.onList(live)
	}
}

// isLive reports whether a VM counts as live. While the table is unreadable every known VM
// does. The caller must hold mu.
func (k *Keeper) isLive(s rowState, now time.Time) bool {
	return !k.unreadableSince.IsZero() || now.Sub(s.changedAt) < k.expiryTimeout()
}

// removable returns the rows of long-lost VMs that this VM is responsible for removing.
func (k *Keeper) removable(now time.Time) []rowstore.Condition {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.unreadableSince.IsZero() {
		return nil
	}
	var rows []rowstore.Condition
	for vm, s := range k.rows {
		if now.Sub(s.changedAt) > removalExpiries*k.expiryTimeout() && k.isRemover(vm, now) {
			rows = append(rows, rowstore.Condition{Key: keyOf(vm), Version: s.version})
		}
	}
	return rows
}

// isRemover reports whether this VM is the one to remove a row: the live VM with the
// lowest rendezvous hash for it. The caller must hold mu.
func (k *Keeper) isRemover(row string, now time.Time) bool {
	ownWeight := weigher.Weight(row, k.self.VM)
	for vm, s := range k.rows {
		if vm != k.self.VM && k.isLive(s, now) && weigher.Weight(row, vm) < ownWeight {
			return false
		}
	}
	return true
}

// Replaced reports whether the process with a boot ID has certainly ended: a later process
// of the same VM has written to the VM table after version, a store version at which the
// former was known to be running. For this VM itself, any boot ID but the current one is
// of an ended process.
func (k *Keeper) Replaced(vm string, boot, version uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if vm == k.self.VM {
		return boot != k.self.Boot
	}
	s, found := k.rows[vm]
	return found && s.member.Boot != boot && s.version > version
}
