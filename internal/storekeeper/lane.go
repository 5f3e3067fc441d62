package storekeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/platform"
	"github.com/fescuespindle/fescuespindle/internal/platformcaller"
)

// Write is one atomic write. It is committed together with others, but takes
// effect or fails by itself.
type Write struct {
	Purpose    Purpose
	Priority   Priority
	Conditions []platform.Condition
	Puts       []platform.Put
	Deletes    []string
}

// pending is a write that waits for its outcome.
type pending struct {
	write   Write
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
	p := &pending{write: write, done: make(chan struct{})}
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
		return 0, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
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

// take removes the next group of writes that may be committed together: no
// row that one of them writes is used by another.
func (k *Keeper) take() []*pending {
	k.mu.Lock()
	defer k.mu.Unlock()
	var group []*pending
	uses := map[string]use{}
	for priority := range k.waiting {
		var rest []*pending
		for _, p := range k.waiting[priority] {
			if len(group) < groupLimit && p.write.join(uses) {
				group = append(group, p)
				continue
			}
			rest = append(rest, p)
		}
		k.waiting[priority] = rest
	}
	return group
}

// join adds the write's rows to the group's, unless they clash.
func (w Write) join(uses map[string]use) bool {
	own := w.uses()
	for key, u := range own {
		if uses[key] == useWrite || (u == useWrite && uses[key] != useNone) {
			return false
		}
	}
	for key, u := range own {
		uses[key] = max(uses[key], u)
	}
	return true
}

func (w Write) uses() map[string]use {
	own := map[string]use{}
	for _, condition := range w.Conditions {
		own[condition.Key] = useRead
	}
	for _, put := range w.Puts {
		own[put.Key] = useWrite
	}
	for _, key := range w.Deletes {
		own[key] = useWrite
	}
	return own
}

// lane sends one transaction at a time.
//
// Every transaction also writes the lane's marker row, under the condition
// that the marker still has the version that the lane wrote last. The marker
// makes a lost answer harmless: the lane reads the marker, and finds either its
// own sequence number, so the transaction took effect, or the old one. It may
// then send the same transaction again even if the first copy is still on its
// way, since only one of the two copies can find the old marker. A list of
// transaction identifiers in the store would do as well, but it would grow and
// would have to be cleaned.
type lane struct {
	keeper   *Keeper
	marker   string
	version  uint64
	sequence uint64
}

// marker is the value of a lane's marker row.
type marker struct {
	Sequence uint64 `json:"sequence"`
}

func (l *lane) run(ctx context.Context) error {
	for {
		group := l.keeper.take()
		if len(group) == 0 {
			select {
			case <-l.keeper.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		l.keeper.poke() // more may wait for the other lane
		if err := l.commit(ctx, group); err != nil {
			return nil //nolint:nilerr // the context ended, every write was told so
		}
	}
}

// commit sends the group until each of its writes has an outcome.
func (l *lane) commit(ctx context.Context, group []*pending) error {
	for len(group) > 0 {
		reply, err := l.send(ctx, group)
		if err != nil {
			for _, p := range group {
				p.finish(0, fmt.Errorf("%w: %w", ErrUnknown, err))
			}
			return err
		}
		if reply.Committed {
			for _, p := range group {
				p.finish(reply.Version, nil)
			}
			return nil
		}
		group = failConflicting(group, reply.Conflicts)
	}
	return nil
}

// failConflicting ends the writes whose conditions did not hold and returns the
// others.
func failConflicting(group []*pending, conflicts []string) []*pending {
	var rest []*pending
	for _, p := range group {
		if key, conflicting := p.write.conflict(conflicts); conflicting {
			p.finish(0, fmt.Errorf("%w: %s", ErrConflict, key))
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

func (w Write) conflict(conflicts []string) (string, bool) {
	for _, condition := range w.Conditions {
		if slices.Contains(conflicts, condition.Key) {
			return condition.Key, true
		}
	}
	return "", false
}

// send sends one transaction until its outcome is known.
func (l *lane) send(ctx context.Context, group []*pending) (platform.TransactReply, error) {
	l.sequence++
	tx, err := l.merge(group)
	if err != nil {
		return platform.TransactReply{}, err
	}
	for attempt := 0; ; attempt++ {
		reply, err := l.sendOnce(ctx, tx, group)
		if err == nil && !slices.Contains(reply.Conflicts, l.marker) {
			if reply.Committed {
				l.version = reply.Version
			}
			return reply, nil
		}
		if err == nil || errors.Is(err, platformcaller.ErrUnknown) {
			if version, ok := l.readBack(ctx); ok {
				return platform.TransactReply{Committed: true, Version: version}, nil
			}
		}
		if !sleepBackoff(ctx, attempt) {
			return platform.TransactReply{}, fmt.Errorf("transaction: %w", ctx.Err())
		}
	}
}

func (l *lane) sendOnce(
	ctx context.Context, tx platform.Transaction, group []*pending,
) (platform.TransactReply, error) {
	if err := l.keeper.writes.Wait(ctx); err != nil {
		return platform.TransactReply{}, fmt.Errorf("%w: %w", platformcaller.ErrNotSent, err)
	}
	l.keeper.count("transactions", "all")
	for _, p := range group {
		l.keeper.count("writes", p.write.Purpose)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := l.keeper.store.Transact(ctx, tx)
	l.keeper.note(err)
	return reply, err
}

// readBack tells whether the marker has the lane's sequence number.
func (l *lane) readBack(ctx context.Context) (uint64, bool) {
	rows, err := l.keeper.Read(ctx, PurposeMarker, l.marker)
	if err != nil || len(rows) != 1 || rows[0].Version == 0 {
		return 0, false
	}
	var found marker
	if err := json.Unmarshal(rows[0].Value, &found); err != nil {
		return 0, false
	}
	l.version = rows[0].Version
	return rows[0].Version, found.Sequence == l.sequence
}

func (l *lane) merge(group []*pending) (platform.Transaction, error) {
	value, err := json.Marshal(marker{Sequence: l.sequence})
	if err != nil {
		return platform.Transaction{}, fmt.Errorf("encode marker: %w", err)
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{{Key: l.marker, Version: l.version}},
		Puts:       []platform.Put{{Key: l.marker, Value: value}},
	}
	for _, p := range group {
		tx.Conditions = append(tx.Conditions, p.write.Conditions...)
		tx.Puts = append(tx.Puts, p.write.Puts...)
		tx.Deletes = append(tx.Deletes, p.write.Deletes...)
	}
	return tx, nil
}
