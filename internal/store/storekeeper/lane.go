package storekeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Write is one atomic write of rows of one part. It may be committed in a group with
// others, but succeeds or fails independently of them.
type Write struct {
	Purpose  Purpose
	Priority Priority
	rowstore.Tx
}

// part returns the part that the write's rows belong to, or ErrNotWritten if
// the store could never accept the write.
func (w Write) part() (string, error) {
	if w.Entries() == 0 {
		return "", fmt.Errorf("%w: no rows", ErrNotWritten)
	}
	part, err := w.Part(MaxWriteEntries, maxWriteBytes)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	return part, nil
}

const (
	// MaxWriteEntries bounds the conditions, puts and removals of one write. A transaction
	// has two more entries for the lane's marker row.
	MaxWriteEntries = rowstore.MaxEntries - 2
	// maxWriteBytes leaves space for the marker row.
	maxWriteBytes = rowstore.MaxTxBytes - 1<<10
)

// pending is a write whose outcome is not known yet.
type pending struct {
	write   Write
	part    string
	done    chan struct{}
	version uint64
	err     error
}

func (p *pending) finish(version uint64, err error) {
	p.version, p.err = version, err
	close(p.done)
}

// Transact commits a write and returns the new version of its rows. It returns
// ErrConflict if a condition did not hold, ErrNotWritten if the write is invalid or its
// context ended before a lane took it, and ErrInDoubt if its context, or that of Run,
// ended while a lane was sending it.
func (k *Keeper) Transact(ctx context.Context, write Write) (uint64, error) {
	part, err := write.part()
	if err != nil {
		return 0, err
	}
	p := &pending{write: write, part: part, done: make(chan struct{})}
	k.mu.Lock()
	k.waiting[write.Priority] = append(k.waiting[write.Priority], p)
	k.mu.Unlock()
	k.wakeLane()
	select {
	case <-p.done:
		return p.version, p.err
	case <-ctx.Done():
	}
	if k.withdraw(p) {
		return 0, fmt.Errorf("%w: %w", ErrNotWritten, ctx.Err())
	}
	select {
	case <-p.done:
		return p.version, p.err
	default:
		return 0, fmt.Errorf("%w: %w", ErrInDoubt, ctx.Err())
	}
}

// wakeLane wakes a lane that waits for writes.
func (k *Keeper) wakeLane() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// withdraw removes a write that no lane has taken yet and returns whether it did.
func (k *Keeper) withdraw(p *pending) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	queue := k.waiting[p.write.Priority]
	at := slices.Index(queue, p)
	if at < 0 {
		return false
	}
	k.waiting[p.write.Priority] = slices.Delete(queue, at, at+1)
	return true
}

// rowAccess is how the writes of a group access a row.
type rowAccess uint8

const (
	accessNone rowAccess = iota
	accessRead
	accessWrite
)

// group is a set of writes of one part that are committed in one transaction.
type group struct {
	part    string
	pending []*pending
	access  map[rowstore.Key]rowAccess
	entries int
	bytes   int
}

// nextGroup removes the next group from the queues, in order of priority. All writes of a
// group belong to one part, and no row that one of them writes is accessed by another.
func (k *Keeper) nextGroup() group {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := group{access: map[rowstore.Key]rowAccess{}}
	for priority := range k.waiting {
		var rest []*pending
		for _, p := range k.waiting[priority] {
			if !g.tryAdd(p) {
				rest = append(rest, p)
			}
		}
		k.waiting[priority] = rest
	}
	return g
}

// tryAdd adds a write to the group and returns true, unless the write doesn't fit or
// conflicts with the group's access to a row.
func (g *group) tryAdd(p *pending) bool {
	entries, bytes := g.entries+p.write.Entries(), g.bytes+p.write.Bytes()
	if len(g.pending) > 0 && (p.part != g.part || entries > MaxWriteEntries || bytes > maxWriteBytes) {
		return false
	}
	accesses := p.write.access()
	for key, access := range accesses {
		if g.access[key] == accessWrite || (access == accessWrite && g.access[key] != accessNone) {
			return false
		}
	}
	for key, access := range accesses {
		g.access[key] = max(g.access[key], access)
	}
	g.part, g.entries, g.bytes = p.part, entries, bytes
	g.pending = append(g.pending, p)
	return true
}

// access returns how the write accesses each of its rows.
func (w Write) access() map[rowstore.Key]rowAccess {
	accesses := map[rowstore.Key]rowAccess{}
	for _, condition := range w.Conditions {
		accesses[condition.Key] = accessRead
	}
	for _, put := range w.Puts {
		accesses[put.Key] = accessWrite
	}
	for _, key := range w.Removes {
		accesses[key] = accessWrite
	}
	return accesses
}

// lane sends one transaction at a time.
//
// Every transaction also writes the lane's marker row in the transaction's part, under the
// condition that the marker still has the version that the lane last wrote there. This
// makes a lost response harmless: the lane reads the marker and finds either its current
// sequence number, in which case the transaction took effect, or the previous one. It may
// then resend the same transaction even if the first copy is still in flight, since only
// one of the two copies can find the previous marker. Storing a list of transaction
// identifiers instead would work as well, but the list would grow and need to be purged.
type lane struct {
	keeper  *Keeper
	name    string
	markers map[string]markerState // by part
}

// markerState is a lane's view of its marker row in one part.
type markerState struct {
	version  uint64
	sequence uint64
}

// markerRow is the value of a marker row.
type markerRow struct {
	Sequence uint64 `json:"sequence"`
}

const markerTable = "markers"

func (l *lane) markerKey(part string) rowstore.Key {
	return rowstore.Key{Table: markerTable, Part: part, Name: l.name}
}

func (l *lane) run(ctx context.Context) error {
	for {
		g := l.keeper.nextGroup()
		if len(g.pending) == 0 {
			select {
			case <-l.keeper.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		l.keeper.wakeLane() // there may be more writes for the other lane
		if err := l.commit(ctx, g.part, g.pending); err != nil {
			return nil //nolint:nilerr // the context ended and every write has an outcome
		}
	}
}

// commit resends the writes until each of them has an outcome. After a conflict it fails
// the writes that caused it and sends the others again.
func (l *lane) commit(ctx context.Context, part string, writes []*pending) error {
	for len(writes) > 0 {
		version, err := l.sendWithRetry(ctx, part, writes)
		var conflict *rowstore.ConflictError
		switch {
		case errors.As(err, &conflict):
			writes = failConflicting(writes, conflict)
		case err != nil:
			for _, p := range writes {
				p.finish(0, fmt.Errorf("%w: %w", ErrInDoubt, err))
			}
			return err
		default:
			for _, p := range writes {
				p.finish(version, nil)
			}
			return nil
		}
	}
	return nil
}

// failConflicting fails the writes whose conditions did not hold and returns the others.
func failConflicting(writes []*pending, conflict *rowstore.ConflictError) []*pending {
	var rest []*pending
	for _, p := range writes {
		if key, conflicting := p.write.conflict(conflict); conflicting {
			p.finish(0, fmt.Errorf("%w: %s", ErrConflict, key))
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// conflict returns the key of the first condition that did not hold, and whether there is
// one.
func (w Write) conflict(conflict *rowstore.ConflictError) (rowstore.Key, bool) {
	for _, condition := range w.Conditions {
		if row, found := conflict.Current(condition.Key); found && row.Version != condition.Version {
			return condition.Key, true
		}
	}
	return rowstore.Key{}, false
}

// sendWithRetry sends one transaction until its outcome is known. It returns the version
// of its rows, a ConflictError about rows of the writes, or an error if the context ends.
func (l *lane) sendWithRetry(ctx context.Context, part string, writes []*pending) (uint64, error) {
	m := l.markers[part]
	m.sequence++
	l.markers[part] = m
	tx := l.mergeWrites(part, writes)
	for attempt := 0; ; attempt++ {
		version, err := l.sendOnce(ctx, tx, writes)
		advanced := l.markerAdvanced(part, err)
		switch {
		case err == nil:
			l.markers[part] = markerState{version: version, sequence: m.sequence}
			return version, nil
		case errors.Is(err, rowstore.ErrConflict) && !advanced:
			return 0, err
		case advanced || errors.Is(err, rowstore.ErrInDoubt):
			if version, done := l.readMarker(ctx, part); done {
				return version, nil
			}
		}
		if !retryBackoff.Wait(ctx, attempt) {
			return 0, fmt.Errorf("transaction: %w", ctx.Err())
		}
	}
}

// markerAdvanced returns whether a transaction failed because the marker has a newer
// version, which means that an earlier copy of the transaction took effect.
func (l *lane) markerAdvanced(part string, err error) bool {
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	row, found := conflict.Current(l.markerKey(part))
	return found && row.Version != l.markers[part].version
}

// sendOnce waits for the rate budget of writes and makes one attempt of a transaction.
func (l *lane) sendOnce(ctx context.Context, tx rowstore.Tx, writes []*pending) (uint64, error) {
	if err := l.keeper.writes.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", rowstore.ErrNotDone, err)
	}
	l.keeper.count("transactions", "all")
	for _, p := range writes {
		l.keeper.count("writes", p.write.Purpose)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	snapshot, err := l.keeper.store.Transact(ctx, tx)
	l.keeper.recordAvailability(err)
	return snapshot.Version, err
}

// readMarker reads the marker row and returns its version and whether it has the lane's
// current sequence number, that is, whether the last transaction took effect.
func (l *lane) readMarker(ctx context.Context, part string) (uint64, bool) {
	rows, err := l.keeper.Read(ctx, PurposeMarker, l.markerKey(part))
	if err != nil || rows[0].Version == 0 {
		return 0, false
	}
	var found markerRow
	if err := json.Unmarshal(rows[0].Value, &found); err != nil {
		return 0, false
	}
	m := l.markers[part]
	m.version = rows[0].Version
	l.markers[part] = m
	return m.version, found.Sequence == m.sequence
}

// mergeWrites returns the transaction of a group's writes and the marker row.
func (l *lane) mergeWrites(part string, writes []*pending) rowstore.Tx {
	m, key := l.markers[part], l.markerKey(part)
	tx := rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: key, Version: m.version}},
		Puts:       []rowstore.Put{rowstore.PutJSON(key, markerRow{Sequence: m.sequence})},
	}
	for _, p := range writes {
		tx.Conditions = append(tx.Conditions, p.write.Conditions...)
		tx.Puts = append(tx.Puts, p.write.Puts...)
		tx.Removes = append(tx.Removes, p.write.Removes...)
	}
	return tx
}
