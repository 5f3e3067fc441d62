package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Submission is a job as it is handed in.
type Submission struct {
	ID    string
	Route string
	Host  string
	Items []Item
	// MaxTokens bounds what may wait on the route; 0 means no limit.
	MaxTokens int64
	// CompletionTarget and Retention count from now.
	CompletionTarget time.Duration
	Retention        time.Duration
}

// admission is what this VM knows of the tokens that wait on each route.
type admission struct {
	scanned time.Time
	waiting map[string]int64
	// granted is what this VM has admitted since the scan.
	granted map[string]int64
	vms     int
}

const (
	// submitPatience is how long a store that refuses is asked again before a job
	// is refused, so that its caller can try another VM in time.
	submitPatience = 700 * time.Millisecond
	// admissionAge is how old a scan may be to admit a job by it alone.
	admissionAge = 2 * time.Second
	// quickDivisor and grantDivisor bound what is admitted without reading the
	// store: while less than half of the limit waits, all VMs together may grant a
	// quarter of it between two scans.
	quickDivisor = 2
	grantDivisor = 4
)

// SetVMs sets how many VMs admit jobs.
func (k *Keeper) SetVMs(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admitted.vms = n
}

func (k *Keeper) noteScan(records []Stored) {
	waiting := map[string]int64{}
	for _, r := range records {
		if r.Open() {
			waiting[r.Route] += r.Tokens
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admitted.scanned, k.admitted.waiting, k.admitted.granted = time.Now(), waiting, map[string]int64{}
}

// grantQuickly admits tokens by the last scan alone if there is plenty of room.
func (k *Keeper) grantQuickly(route string, tokens, most int64) bool {
	if most == 0 {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &k.admitted
	if time.Since(a.scanned) > admissionAge || a.vms == 0 {
		return false
	}
	granted := a.granted[route] + tokens
	if a.waiting[route] > most/quickDivisor || granted > most/(grantDivisor*int64(a.vms)) {
		return false
	}
	a.granted[route] = granted
	return true
}

// Submit accepts a job. Once it returns no error the job is in the store. It
// returns whether this call, not an earlier one, made this VM the owner, and
// ErrOverQuota, ErrNotWritten or ErrInDoubt.
func (k *Keeper) Submit(ctx context.Context, s Submission) (Stored, bool, error) {
	if k.Now() == 0 {
		if _, err := k.Scan(ctx); err != nil { // the job's deadlines need the store's clock
			return Stored{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
	}
	record, content, err := k.encode(s)
	if err != nil {
		return Stored{}, false, err
	}
	content, err = k.putEarly(ctx, content)
	if err != nil {
		return Stored{}, false, err
	}
	if k.grantQuickly(s.Route, record.Tokens, s.MaxTokens) {
		return k.accept(ctx, record, content, nil)
	}
	for attempt := 0; ; attempt++ {
		gate, err := k.openGate(ctx, s, record.Tokens)
		if err != nil {
			return Stored{}, false, err
		}
		stored, own, err := k.accept(ctx, record, content, gate)
		if !errors.Is(err, rowstore.ErrConflict) {
			return stored, own, err
		}
		if !retries.Wait(ctx, attempt) { // another VM has admitted a job meanwhile
			return Stored{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
	}
}

// openGate finds out whether tokens fit on a route. The row that it returns must
// still have its version when the job is accepted, so that no two VMs admit
// jobs by the same sum.
func (k *Keeper) openGate(ctx context.Context, s Submission, tokens int64) (*rowstore.Condition, error) {
	key := rowstore.Key{Table: tableAdmission, Part: part, Name: s.Route}
	gates, err := k.readPatiently(ctx, tableAdmission, s.Route, s.Route+"\x00", submitPatience)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	gate := &rowstore.Condition{Key: key}
	if len(gates.Rows) > 0 {
		gate.Version = gates.Rows[0].Version
	}
	if _, err := k.Scan(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	k.mu.Lock()
	waiting := k.admitted.waiting[s.Route]
	k.mu.Unlock()
	if waiting+tokens > s.MaxTokens {
		return nil, fmt.Errorf("%w: %d wait, %d more, %d allowed", ErrOverQuota, waiting, tokens, s.MaxTokens)
	}
	return gate, nil
}

// accept writes the job's record, with its content, unless there is one.
func (k *Keeper) accept(
	ctx context.Context, record Record, content []rowstore.Put, gate *rowstore.Condition,
) (Stored, bool, error) {
	own, err := put(recordKey(record.ID), record)
	if err != nil {
		return Stored{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	tx := rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: own.Key}},
		Puts:       append([]rowstore.Put{own}, content...),
	}
	if gate != nil {
		tx.Conditions = append(tx.Conditions, *gate)
		tx.Puts = append(tx.Puts, rowstore.Put{Key: gate.Key, Value: []byte(record.ID)})
	}
	version, err := k.settle(ctx, tx, submitPatience)
	if err == nil {
		return Stored{Record: record, Version: version}, true, nil
	}
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return Stored{}, false, err
	}
	row, found := conflict.Current(own.Key)
	if !found || row.Version == 0 {
		return Stored{}, false, err // only the gate has moved
	}
	stored, err := decodeRecord(row)
	return stored, err == nil && stored.Owner == k.owner && stored.Writes == 0, err
}

// encode returns a job's record and its content, cut into rows.
func (k *Keeper) encode(s Submission) (Record, []rowstore.Put, error) {
	now := k.Now()
	record := Record{
		ID: s.ID, Route: s.Route, Host: s.Host, Owner: k.owner, Items: len(s.Items),
		Due: now + s.CompletionTarget, Expires: now + s.Retention,
	}
	for _, item := range s.Items {
		record.Tokens += item.Tokens
	}
	text, err := cbor.Marshal(s.Items)
	if err != nil {
		return record, nil, fmt.Errorf("%w: encode items: %w", ErrNotWritten, err)
	}
	var puts []rowstore.Put
	for n := 0; len(text) > 0; n++ {
		size := min(k.rowSize, len(text))
		puts = append(puts, rowstore.Put{Key: numberedKey(tableContent, s.ID, n), Value: text[:size]})
		text = text[size:]
	}
	return record, puts, nil
}

// putEarly writes the rows of a large job that don't fit into the transaction
// that accepts it, and returns the rest. Rows without a record mean nothing, and
// writing them twice is harmless.
func (k *Keeper) putEarly(ctx context.Context, puts []rowstore.Put) ([]rowstore.Put, error) {
	for {
		n, size := 0, 0
		for n < len(puts) && n < maxRows && size+len(puts[n].Value) <= maxTxBytes {
			size += len(puts[n].Value)
			n++
		}
		if n == len(puts) {
			return puts, nil
		}
		if _, err := k.settle(ctx, rowstore.Tx{Puts: puts[:n]}, submitPatience); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		puts = puts[n:]
	}
}
