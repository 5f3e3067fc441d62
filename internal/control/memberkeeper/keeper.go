// Package memberkeeper keeps this VM's row in the store, and tells from the rows
// of others which VMs live. Liveness is judged by whether a row goes on changing
// while this VM can read the store, and never by anybody's time of day.
package memberkeeper

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// Table has a row for each VM.
	Table = "vms"
	// period is the time between two heartbeats, and two looks at the list; fleets
	// of more than smallFleet VMs look half as often.
	period     = time.Second
	smallFleet = 32
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
	// lapse is how long a row may stay unchanged before its VM is taken to be
	// gone: three heartbeats and a bit, and a look in large fleets.
	lapse      = 3200 * time.Millisecond
	largeLapse = lapse + period
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

// Keeper keeps the row and the list.
type Keeper struct {
	store  rowstore.Store
	logger *slog.Logger
	onList func([]Member)

	mu       sync.Mutex
	self     Member
	seen     map[string]sighting
	lastRead time.Time
}

// New returns a keeper. The function is called with all other VMs that live
// whenever the list has been read.
func New(store rowstore.Store, self Member, onList func([]Member), logger *slog.Logger) *Keeper {
	return &Keeper{store: store, self: self, onList: onList, logger: logger, seen: map[string]sighting{}}
}

// SetLeaving tells others that this VM is about to end.
func (k *Keeper) SetLeaving() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.self.Leaving = true
}

// Run sends heartbeats and reads the list until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if err := k.beat(ctx); err != nil {
			k.logger.Debug("heartbeat not written", "error", err) // the next one makes up for it
		}
		if n%2 == 0 || !k.isLarge() {
			if err := k.read(ctx); err != nil {
				k.logger.Debug("VM list not read", "error", err) // the watchers log a lost store
			}
		}
		sleeper.Sleep(ctx, period)
	}
}

func (k *Keeper) isLarge() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.seen) > smallFleet
}

// lapse returns how long a row may stay unchanged. The caller holds mu.
func (k *Keeper) lapse() time.Duration {
	if len(k.seen) > smallFleet {
		return largeLapse
	}
	return lapse
}

// beat writes the VM's row.
func (k *Keeper) beat(ctx context.Context) error {
	k.mu.Lock()
	value, err := cbor.Marshal(k.self)
	k.mu.Unlock()
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := rowstore.Key{Table: Table, Name: k.self.VM}
	if _, err := k.store.Transact(ctx, rowstore.Tx{Puts: []rowstore.Put{{Key: key, Value: value}}}); err != nil {
		return fmt.Errorf("write heartbeat: %w", err)
	}
	return nil
}

func (k *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := rowstore.ReadAll(ctx, k.store, Table, "", "", "")
	if err != nil {
		return fmt.Errorf("read VM list: %w", err)
	}
	k.onList(k.Observe(all.Rows, time.Now()))
	return nil
}

// Observe takes in the rows as read and returns the other VMs that live.
func (k *Keeper) Observe(rows []rowstore.Row, now time.Time) []Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	blind := now.Sub(k.lastRead) > k.lapse() // nothing could be seen to change
	k.lastRead = now
	var others []Member
	seen := make(map[string]sighting, len(rows))
	for _, row := range rows {
		s := k.sight(row, blind, now)
		seen[row.Name] = s
		if row.Name != k.self.VM && now.Sub(s.changed) < k.lapse() {
			others = append(others, s.member)
		}
	}
	k.seen = seen
	return others
}

func (k *Keeper) sight(row rowstore.Row, blind bool, now time.Time) sighting {
	known, found := k.seen[row.Name]
	if found && known.version == row.Version {
		if blind {
			known.changed = now
		}
		return known
	}
	s := sighting{version: row.Version, changed: now}
	if err := cbor.Unmarshal(row.Value, &s.member); err != nil {
		k.logger.Warn("VM row not understood", "row", row.Name, "error", err)
	}
	return s
}

// Informed tells whether the list was read lately, so that Lives means something.
func (k *Keeper) Informed(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.lastRead) < k.lapse()
}

// Lives tells whether the process with a boot number is taken to live. One that
// has never been seen is not, unless nothing has been read for long.
func (k *Keeper) Lives(vm string, boot uint64, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if vm == k.self.VM {
		return boot == k.self.Boot
	}
	s, found := k.seen[vm]
	return found && s.member.Boot == boot && now.Sub(s.changed) < k.lapse() && !s.member.Leaving
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
		if vm != k.self.VM && now.Sub(s.changed) < k.lapse() && !s.member.Leaving {
			vms = append(vms, vm)
		}
	}
	return vms
}
