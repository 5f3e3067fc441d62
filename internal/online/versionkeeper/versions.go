package versionkeeper

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// maxVersions bounds the versions of a service. No stream that can be resumed begins at
	// another one while an upstream of these accepts work.
	maxVersions = 50
	// addDelay is the time between two VMs that may add the same version. The first one does
	// so at once; the others only if it has not.
	addDelay = 150 * time.Millisecond
	// aloneDelay is how long a VM that knows no other waits: all VMs may have just started.
	aloneDelay = 500 * time.Millisecond
	// retryPause is the time until a failed write is tried again.
	retryPause = 3 * time.Second
	// idlePeriod is the longest time between two checks of what is to be written.
	idlePeriod = 10 * time.Second
	// versionsTimeout bounds a write of the versions of a service.
	versionsTimeout = 1500 * time.Millisecond
)

// versionSet is the content of a row of TableVersions: sorted versions.
type versionSet struct {
	versions []string
	row      uint64 // version of the row; 0 if there is none
}

// listing says whether an upstream of a version is listed, and when one last was.
type listing struct {
	listed bool
	lastAt time.Time // while none is listed
}

// isAbsent returns whether no upstream was listed for longer than a time.
func (l listing) isAbsent(keepTime time.Duration, now time.Time) bool {
	return !l.listed && now.Sub(l.lastAt) > keepTime
}

func versionsKey(service string) rowstore.Key {
	return rowstore.Key{Table: TableVersions, Part: PartVersions, Name: service}
}

func decodeVersions(row rowstore.Row) (versionSet, error) {
	set := versionSet{row: row.Version}
	if row.Version == 0 {
		return set, nil
	}
	if err := lenientdecoder.Decode(row.Value, &set.versions); err != nil {
		return set, fmt.Errorf("malformed versions of service %q: %w", row.Name, err)
	}
	return set, nil
}

// Replace implements watcher.Sink.
func (k *Keeper) Replace(rows []rowstore.Row) {
	k.mu.Lock()
	k.isRead = true
	k.mu.Unlock()
	k.Change(rows)
}

// Failed implements watcher.Sink.
func (k *Keeper) Failed(error) {}

// Change implements watcher.Sink. If a service has several versions now, the streams that
// have begun without a record are recorded.
func (k *Keeper) Change(rows []rowstore.Row) {
	k.mu.Lock()
	for _, row := range rows {
		if row.Deleted {
			continue // no VM removes one
		}
		set, err := decodeVersions(row)
		if err != nil {
			k.logger.Warn("versions of a service ignored", "error", err)
			continue
		}
		if known := k.stored[row.Name]; known.row < set.row {
			k.stored[row.Name] = set
			k.logger.Info("software versions of a service", "service", row.Name, "versions", set.versions)
		}
	}
	streams := k.takeToRecord()
	k.mu.Unlock()
	if len(streams) > 0 {
		k.tasks.Go("records of streams under way", func() { k.record(context.Background(), streams) })
	}
	k.writes.Wake()
}

// takeToRecord removes and returns the streams that must be recorded from now on. The caller
// must hold mu.
func (k *Keeper) takeToRecord() []Stream {
	var streams []Stream
	for id, s := range k.unrecorded {
		if k.mustRecord(s) {
			streams = append(streams, s)
			delete(k.unrecorded, id)
		}
	}
	return streams
}

// SetUpstreams records which upstreams are listed.
func (k *Keeper) SetUpstreams(list []placer.Upstream, now time.Time) {
	k.mu.Lock()
	for _, versions := range k.listings {
		for v, l := range versions {
			if l.listed {
				versions[v] = listing{lastAt: now}
			}
		}
	}
	for _, u := range list {
		if k.listings[u.Service] == nil {
			k.listings[u.Service] = map[string]listing{}
		}
		k.listings[u.Service][u.Version] = listing{listed: true}
	}
	k.mu.Unlock()
	k.writes.Wake()
}

// Run adds the versions of listed upstreams to the store, and removes those that are no longer
// listed, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	k.writes.Run(ctx, func(ctx context.Context) time.Duration { return k.update(ctx, time.Now()) })
}

// update writes the versions that have changed if it is this VM's turn, and returns the time
// until the next check. Only Run calls it.
func (k *Keeper) update(ctx context.Context, now time.Time) time.Duration {
	changes := k.changes(now)
	if len(changes) == 0 {
		k.changedAt = time.Time{}
		return idlePeriod
	}
	if k.changedAt.IsZero() {
		k.changedAt = now
	}
	turn := k.changedAt.Add(k.turnDelay())
	if k.retryAt.After(turn) {
		turn = k.retryAt
	}
	if now.Before(turn) {
		return turn.Sub(now)
	}
	for _, c := range changes {
		if err := k.write(ctx, c); err != nil {
			k.logger.Info("writing the versions of a service failed", "service", c.service, "error", err)
			k.retryAt = now.Add(retryPause/2 + rand.N(retryPause))
		}
	}
	return addDelay // whether they have arrived
}

// change is the next content of the versions of a service.
type change struct {
	service  string
	versions []string
	row      uint64
}

// changes returns the services whose versions in the store differ from those listed.
func (k *Keeper) changes(now time.Time) []change {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isRead {
		return nil
	}
	var all []change
	for service, listings := range k.listings {
		set := k.stored[service]
		wanted := wantedVersions(set.versions, listings, k.keepTime, now)
		if len(wanted) > 0 && !slices.Equal(wanted, set.versions) {
			all = append(all, change{service: service, versions: wanted, row: set.row})
		}
	}
	return all
}

// wantedVersions returns the versions that a service should have in the store, sorted. It
// forgets listings that no longer matter.
func wantedVersions(
	stored []string, listings map[string]listing, keepTime time.Duration, now time.Time,
) []string {
	for _, v := range stored {
		if _, known := listings[v]; !known {
			listings[v] = listing{lastAt: now} // it may have been listed until this VM started
		}
	}
	wanted := slices.DeleteFunc(slices.Clone(stored), func(v string) bool { return listings[v].isAbsent(keepTime, now) })
	for _, v := range slices.Sorted(maps.Keys(listings)) {
		switch {
		case slices.Contains(stored, v):
		case listings[v].isAbsent(keepTime, now):
			delete(listings, v)
		case len(wanted) < maxVersions:
			wanted = append(wanted, v)
		}
	}
	slices.Sort(wanted)
	return wanted
}

// turnDelay returns how long this VM leaves a change of the versions to others.
func (k *Keeper) turnDelay() time.Duration {
	k.mu.Lock()
	isAlone := len(k.vms) == 1
	k.mu.Unlock()
	if isAlone {
		return aloneDelay
	}
	return time.Duration(k.rank(TableVersions)) * addDelay
}

// rank returns how many VMs come before this one for a task.
func (k *Keeper) rank(task string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(slices.Index(weigher.Order(task, k.vms), k.self), 0)
}

func (k *Keeper) write(ctx context.Context, c change) error {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	value, err := cbor.Marshal(c.versions)
	if err != nil {
		return fmt.Errorf("encode versions: %w", err)
	}
	key := versionsKey(c.service)
	written, err := k.store.Transact(ctx, rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: key, Version: c.row}},
		Puts:       []rowstore.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("write versions: %w", err)
	}
	k.Change([]rowstore.Row{{Key: key, Value: value, Version: written.Version}})
	return nil
}
