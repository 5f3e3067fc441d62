package versionkeeper

import (
	"context"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// sweepPeriod is the time between two reads of all records.
	sweepPeriod = 30 * time.Second
	// sweepTimeout bounds the sweep of one part.
	sweepTimeout = 10 * time.Second
)

// sweeps remembers at which versions of the store this VM has read records. What was written
// before a read that is old enough is outdated, so no record needs a time, and no clock of
// another VM matters.
type sweeps struct {
	reads []read // oldest first, that are not old enough
	until uint64 // version of the last one that was
	// mayHaveRecords is set if the last sweep has left records, or could not read some.
	mayHaveRecords bool
}

type read struct {
	version uint64 // of the store
	at      time.Time
}

func newSweeps() sweeps { return sweeps{mayHaveRecords: true} }

// outdatedUntil returns the version of the store up to which records are outdated.
func (s *sweeps) outdatedUntil(keepTime time.Duration, now time.Time) uint64 {
	for len(s.reads) > 0 && now.Sub(s.reads[0].at) > keepTime {
		s.until, s.reads = s.reads[0].version, s.reads[1:]
	}
	return s.until
}

// Sweep removes the records of streams that have ended from time to time, until the context
// ends.
func (k *Keeper) Sweep(ctx context.Context) {
	for sleeper.Sleep(ctx, sweepPeriod) {
		if k.mustSweep() {
			k.sweep(ctx, time.Now())
		}
	}
}

// mustSweep returns whether there may be records: while a service has several versions, and
// until none are left.
func (k *Keeper) mustSweep() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, set := range k.stored {
		if len(set.versions) > 1 {
			return true
		}
	}
	return k.sweeps.mayHaveRecords
}

// sweep removes the outdated records of the parts that this VM is responsible for.
func (k *Keeper) sweep(ctx context.Context, now time.Time) {
	k.mu.Lock()
	until := k.sweeps.outdatedUntil(k.keepTime, now)
	k.mu.Unlock()
	k.sweeps.mayHaveRecords = false
	lowest := uint64(0)
	for n := range StreamParts {
		if k.rank(partName(n)) > 0 {
			continue
		}
		version, left, err := k.sweepPart(ctx, partName(n), until)
		k.sweeps.mayHaveRecords = k.sweeps.mayHaveRecords || left || err != nil
		if err != nil {
			k.logger.Info("sweeping records of streams failed", "part", partName(n), "error", err)
			continue
		}
		if lowest == 0 {
			lowest = version // the first read, so that it holds for the others too
		}
	}
	if lowest > 0 {
		k.sweeps.reads = append(k.sweeps.reads, read{version: lowest, at: now})
	}
}

// sweepPart removes the records of a part that were written up to a version of the store. It
// returns the version at which it has read the part, and whether records are left.
func (k *Keeper) sweepPart(ctx context.Context, part string, until uint64) (version uint64, left bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	all, err := rowstore.ReadAll(ctx, k.store, TableStreams, part, "", "")
	if err != nil {
		return 0, true, err //nolint:wrapcheck // only logged
	}
	var outdated []rowstore.Key
	for _, row := range all.Rows {
		if row.Version <= until {
			outdated = append(outdated, row.Key)
		}
	}
	for some := range slices.Chunk(outdated, rowstore.MaxEntries) {
		if _, err := k.store.Transact(ctx, rowstore.Tx{Removes: some}); err != nil {
			return 0, true, err //nolint:wrapcheck // only logged
		}
	}
	return all.Version, len(all.Rows) > len(outdated), nil
}
