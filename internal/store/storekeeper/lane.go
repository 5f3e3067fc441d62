package storekeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Write is one atomic write of rows of one part. It is committed together with
// others, but takes effect or fails by itself.
type Write struct {
	Purpose  Purpose
	Priority Priority
	rowstore.Tx
}

// part returns the part that the write's rows lie in, or ErrNotWritten if the
// store could never take the write.
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
	// MaxWriteEntries bounds the conditions, puts and removals of one write. A
	// transaction has two more for the lane's marker.
	MaxWriteEntries = rowstore.MaxEntries - 2
	// maxWriteBytes leaves room for the marker.
	maxWriteBytes = rowstore.MaxTxBytes - 1<<10
)

// pending is a write that waits for its outcome.
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

// Transact commits a write and returns the version that its rows have now.
// When the context ends first, the error tells whether the write may still
// take effect.
func (k *Keeper) Transact(ctx context.Context, write Write) (uint64, error) {
	part, err := write.part()
	if err != nil {
		return 0, err
	}
	p := &pending{write: write, part: part, done: make(chan struct{})}
	k.mu.Lock()
	k.waiting[write.Priority] = append(k.waiting[write.Priority], p)
	k.mu.Unlock()
	k.poke()
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

func (k *Keeper) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// withdraw takes back a write that no lane has sent yet.
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

// use tells what the writes of a group do with a row.
type use uint8

const (
	useNone use = iota
	useRead
	useWrite
)

// group is the writes of one part that are committed together.
type group struct {
	part    string
	pending []*pending
	uses    map[rowstore.Key]use
	entries int
	bytes   int
}

// take removes the next group of writes that may be committed together: all of
// one part, and no row that one of them writes is used by another.
func (k *Keeper) take() group {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := group{uses: map[rowstore.Key]use{}}
	for priority := range k.waiting {
		var rest []*pending
		for _, p := range k.waiting[priority] {
			if !g.join(p) {
				rest = append(rest, p)
			}
		}
		k.waiting[priority] = rest
	}
	return g
}

// join adds a write to the group, unless it doesn't fit or its rows clash.
func (g *group) join(p *pending) bool {
	entries, bytes := g.entries+p.write.Entries(), g.bytes+p.write.Bytes()
	if len(g.pending) > 0 && (p.part != g.part || entries > MaxWriteEntries || bytes > maxWriteBytes) {
		return false
	}
	own := p.write.uses()
	for key, u := range own {
		if g.uses[key] == useWrite || (u == useWrite && g.uses[key] != useNone) {
			return false
		}
	}
	for key, u := range own {
		g.uses[key] = max(g.uses[key], u)
	}
	g.part, g.entries, g.bytes = p.part, entries, bytes
	g.pending = append(g.pending, p)
	return true
}

func (w Write) uses() map[rowstore.Key]use {
	own := map[rowstore.Key]use{}
	for _, condition := range w.Conditions {
		own[condition.Key] = useRead
	}
	for _, put := range w.Puts {
		own[put.Key] = useWrite
	}
	for _, key := range w.Removes {
		own[key] = useWrite
	}
	return own
}

// lane sends one transaction at a time.
//
// Every transaction also writes the lane's marker row in the transaction's
// part, under the condition that the marker still has the version that the lane
// wrote there last. The marker makes a lost answer harmless: the lane reads the
// marker, and finds either its own sequence number, so the transaction took
// effect, or the old one. It may then send the same transaction again even if
// the first copy is still on its way, since only one of the two copies can find
// the old marker. A list of transaction identifiers in the store would do as
// well, but it would grow and would have to be cleaned.
type lane struct {
	keeper *Keeper
	name   string
	marks  map[string]mark // by part
}

// mark is what a lane knows of its marker row in one part.
type mark struct {
	version  uint64
	sequence uint64
}

// marker is the value of a marker row.
type marker struct {
	Sequence uint64 `json:"sequence"`
}

const markerTable = "markers"

func (l *lane) markerKey(part string) rowstore.Key {
	return rowstore.Key{Table: markerTable, Part: part, Name: l.name}
}

func (l *lane) run(ctx context.Context) error {
	for {
		g := l.keeper.take()
		if len(g.pending) == 0 {
			select {
			case <-l.keeper.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		l.keeper.poke() // more may wait for the other lane
		if err := l.commit(ctx, g.part, g.pending); err != nil {
			return nil //nolint:nilerr // the context ended, every write was told so
		}
	}
}

// commit sends the writes until each of them has an outcome.
func (l *lane) commit(ctx context.Context, part string, writes []*pending) error {
	for len(writes) > 0 {
		version, err := l.send(ctx, part, writes)
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

// failConflicting ends the writes whose conditions did not hold and returns the
// others.
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

func (w Write) conflict(conflict *rowstore.ConflictError) (rowstore.Key, bool) {
	for _, condition := range w.Conditions {
		if row, found := conflict.Current(condition.Key); found && row.Version != condition.Version {
			return condition.Key, true
		}
	}
	return rowstore.Key{}, false
}

// send sends one transaction until its outcome is known. It returns the version
// of its rows, or a ConflictError about rows of the writes.
func (l *lane) send(ctx context.Context, part string, writes []*pending) (uint64, error) {
	m := l.marks[part]
	m.sequence++
	l.marks[part] = m
	tx := l.merge(part, writes)
	for attempt := 0; ; attempt++ {
		version, err := l.sendOnce(ctx, tx, writes)
		overtaken := l.overtaken(part, err)
		switch {
		case err == nil:
			l.marks[part] = mark{version: version, sequence: m.sequence}
			return version, nil
		case errors.Is(err, rowstore.ErrConflict) && !overtaken:
			return 0, err
		case overtaken || errors.Is(err, rowstore.ErrInDoubt):
			if version, done := l.readBack(ctx, part); done {
				return version, nil
			}
		}
		if !retries.Wait(ctx, attempt) {
			return 0, fmt.Errorf("transaction: %w", ctx.Err())
		}
	}
}

// overtaken tells whether a transaction failed because the marker has moved on:
// an earlier copy of it took effect.
func (l *lane) overtaken(part string, err error) bool {
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	row, found := conflict.Current(l.markerKey(part))
	return found && row.Version != l.marks[part].version
}

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
	l.keeper.note(err)
	return snapshot.Version, err
}

// readBack tells whether the marker has the lane's sequence number.
func (l *lane) readBack(ctx context.Context, part string) (uint64, bool) {
	rows, err := l.keeper.Read(ctx, PurposeMarker, l.markerKey(part))
	if err != nil || rows[0].Version == 0 {
		return 0, false
	}
	var found marker
	if err := json.Unmarshal(rows[0].Value, &found); err != nil {
		return 0, false
	}
	m := l.marks[part]
	m.version = rows[0].Version
	l.marks[part] = m
	return m.version, found.Sequence == m.sequence
}

func (l *lane) merge(part string, writes []*pending) rowstore.Tx {
	m, key := l.marks[part], l.markerKey(part)
	tx := rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: key, Version: m.version}},
		Puts:       []rowstore.Put{rowstore.PutJSON(key, marker{Sequence: m.sequence})},
	}
	for _, p := range writes {
		tx.Conditions = append(tx.Conditions, p.write.Conditions...)
		tx.Puts = append(tx.Puts, p.write.Puts...)
		tx.Removes = append(tx.Removes, p.write.Removes...)
	}
	return tx
}
