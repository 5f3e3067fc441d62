package versionkeeper

import (
	"context"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// sweepPeriod is the time between two reads of all records.
	sweepPeriod = 30 * time.Second
	// sweepTimeout bounds one call of the store.
	sweepTimeout = 1500 * time.Millisecond
)

// sweep removes the records of streams that have ended. A record is removed absentTime after
// this VM first saw it, so no clock of another VM matters.
type sweep struct {
	due    time.Time
	seenAt map[rowstore.Condition]time.Time
}

func newSweep() sweep { return sweep{seenAt: map[rowstore.Condition]time.Time{}} }

// sweepIfDue removes outdated records of the parts that this VM is responsible for. Only Run
// calls it.
func (k *Keeper) sweepIfDue(ctx context.Context, now time.Time) {
	if now.Before(k.sweep.due) {
		return
	}
	first := k.sweep.due.IsZero()
	k.sweep.due = now.Add(sweepPeriod)
	if first || !k.hasRecords() {
		return // the list of VMs may not be known yet
	}
	seen := map[rowstore.Condition]time.Time{}
	for n := range StreamParts {
		if k.rank(partName(n)) == 0 {
			k.sweepPart(ctx, partName(n), seen, now)
		}
	}
	k.sweep.seenAt = seen
}

// hasRecords returns whether there may be records to sweep: while a service has several
// versions, and until all that were seen are removed.
func (k *Keeper) hasRecords() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, set := range k.stored {
		if len(set.versions) > 1 {
			return true
		}
	}
	return len(k.sweep.seenAt) > 0
}

// sweepPart removes the outdated records of a part, and adds the others to seen.
func (k *Keeper) sweepPart(
	ctx context.Context, part string, seen map[rowstore.Condition]time.Time, now time.Time,
) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	all, err := rowstore.ReadAll(ctx, k.store, TableStreams, part, "", "")
	if err != nil {
		k.logger.Info("reading records of streams failed", "part", part, "error", err)
		return
	}
	var outdated []rowstore.Key
	for _, row := range all.Rows {
		condition := rowstore.Condition{Key: row.Key, Version: row.Version}
		firstSeen, known := k.sweep.seenAt[condition]
		if !known {
			firstSeen = now
		}
		if now.Sub(firstSeen) > absentTime {
			outdated = append(outdated, row.Key)
			continue
		}
		seen[condition] = firstSeen
	}
	for some := range slices.Chunk(outdated, rowstore.MaxEntries) {
		if _, err := k.store.Transact(ctx, rowstore.Tx{Removes: some}); err != nil {
			k.logger.Info("removing records of streams failed", "records", len(some), "error", err)
		}
	}
}
