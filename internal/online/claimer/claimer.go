// Package claimer runs each non-idempotent call at most once per idempotency key. A call
// is sent only after a claim on its key is durable. A resend that finds a claim gets the
// stored answer of the earlier run, or the error that the call may have run.
package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// Errors of this layer.
var (
	// ErrNotClaimed means that no claim is known to be durable; the call was not sent.
	ErrNotClaimed = errors.New("no durable claim could be made")
	// ErrDifferentBody means that the key was used before with a different body.
	ErrDifferentBody = errors.New("idempotency key used with a different body")
	// ErrInDoubt means that the call was claimed before and its answer is not available;
	// it may have run, and is not run again.
	ErrInDoubt = errors.New("the call may have run before")
)

const (
	// claimTimeout bounds the time that Do waits for the claim.
	claimTimeout = 3 * time.Second
	// settleTimeout bounds the writes to the store that may continue after Do returns.
	settleTimeout      = time.Minute
	maxInlineBodyBytes = 16 << 10
)

// state is the state of a claim. A claim is created as claimed, and is then removed or
// becomes done or inDoubt.
type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateInDoubt state = "inDoubt"
)

// row is the table row of a claim. Answers with a body of more than maxInlineBodyBytes
// keep it in an object of the store, whose name is Object.
type row struct {
	State       state  `json:"state"`
	VM          string `json:"vm"`
	BodyDigest  string `json:"bodyDigest"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// Answer is the answer to a call, by this run or an earlier one.
type Answer struct {
	status      int
	contentType string
	body        []byte
	replayed    bool
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// ContentType returns the type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Replayed reports whether the answer is that of an earlier run.
func (a Answer) Replayed() bool { return a.replayed }

// Call is a call that must not run more than once per caller, service and key.
type Call struct {
	Caller  string
	Service string
	Key     string
	Body    []byte
	// Run sends the call. It is called at most once.
	Run func(context.Context) (relayer.Answer, error)
}

const table = "claims"

// key returns the key of the claim's row. Claims are spread over sixteen partitions of
// the table by the first hexadecimal digit of their digest.
func (c Call) key() rowstore.Key {
	id := digest([]byte(c.Caller + "\x00" + c.Key))
	return rowstore.Key{Table: table, Part: table + "-" + id[:1], Name: c.Service + "/" + id}
}

// digest returns the SHA-256 digest of a text in hexadecimal.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Store is the part of the store's client that this package uses.
type Store interface {
	Transact(context.Context, storekeeper.Write) (uint64, error)
	Read(context.Context, storekeeper.Purpose, ...rowstore.Key) ([]rowstore.Row, error)
	PutObject(context.Context, storekeeper.Purpose, string, []byte) error
	GetObject(context.Context, storekeeper.Purpose, string) ([]byte, error)
}

// Claimer runs calls for a VM.
type Claimer struct {
	vm    string
	store Store
	group sync.WaitGroup
}

// New returns a claimer for a VM.
func New(vm string, store Store) *Claimer { return &Claimer{vm: vm, store: store} }

// Wait waits until all writes to the store that outlive their calls have ended.
func (c *Claimer) Wait() { c.group.Wait() }

// claimResult is the result of writing the claim's row.
type claimResult struct {
	version uint64
	err     error
}

// pendingClaim passes the result of writing a claim to the call that waits for it,
// unless the call has abandoned it by then.
type pendingClaim struct {
	result chan claimResult

	mu        sync.Mutex
	abandoned bool // the call has stopped waiting
}

// deliver passes the result to the waiting call. It returns false if the claim was
// abandoned.
func (p *pendingClaim) deliver(r claimResult) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		return false
	}
	p.result <- r
	return true
}

// abandon stops waiting for the claim. It returns a result that was delivered just
// before, if there is one.
func (p *pendingClaim) abandon() (claimResult, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	select {
	case got := <-p.result:
		return got, true
	default:
		return claimResult{}, false
	}
}

// Do runs a call, or returns the answer of its earlier run. Its error wraps
// ErrNotClaimed, ErrDifferentBody or ErrInDoubt, or is the error of the call's Run.
//
// The write of the claim continues after Do has stopped waiting for it, since its result
// decides what a later resend finds: a claim that becomes durable although the call was
// not sent is withdrawn.
func (c *Claimer) Do(ctx context.Context, call Call) (Answer, error) {
	p := &pendingClaim{result: make(chan claimResult, 1)}
	c.group.Go(func() { c.claim(call, p) })
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	select {
	case got := <-p.result:
		return c.proceed(ctx, call, got)
	case <-timer.C:
	case <-ctx.Done():
	}
	if got, delivered := p.abandon(); delivered {
		return c.proceed(ctx, call, got)
	}
	return Answer{}, ErrNotClaimed
}

// claim writes the claim's row, on condition that there is none. If the call no longer
// waits for it, the claim is withdrawn.
func (c *Claimer) claim(call Call, p *pendingClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	version, err := c.write(ctx, call, 0, row{State: stateClaimed, VM: c.vm, BodyDigest: digest(call.Body)})
	if !p.deliver(claimResult{version: version, err: err}) && err == nil {
		_ = c.withdraw(ctx, call, version)
	}
}

// write puts the claim's row, on condition that its version is the given one, and
// returns the new version. Version 0 means that there is no row.
func (c *Claimer) write(ctx context.Context, call Call, version uint64, value row) (uint64, error) {
	return c.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeClaim, Priority: storekeeper.PriorityAcknowledge,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: call.key(), Version: version}},
			Puts:       []rowstore.Put{rowstore.PutJSON(call.key(), value)},
		},
	})
}

// withdraw removes the claim of a call that certainly did not run.
func (c *Claimer) withdraw(ctx context.Context, call Call, version uint64) error {
	_, err := c.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeClaim, Priority: storekeeper.PriorityAcknowledge,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: call.key(), Version: version}},
			Removes:    []rowstore.Key{call.key()},
		},
	})
	return err
}

// proceed runs the call if the claim is its own, and replays it if there was one before.
func (c *Claimer) proceed(ctx context.Context, call Call, got claimResult) (Answer, error) {
	switch {
	case got.err == nil:
		return c.run(ctx, call, got.version)
	case errors.Is(got.err, storekeeper.ErrConflict):
		return c.replay(ctx, call)
	default:
		return Answer{}, fmt.Errorf("%w: %w", ErrNotClaimed, got.err)
	}
}

// run sends the claimed call and stores its outcome in the background. The caller gets
// the answer without waiting for the store; until the outcome is durable, a resend gets
// ErrInDoubt.
func (c *Claimer) run(ctx context.Context, call Call, version uint64) (Answer, error) {
	answer, err := call.Run(ctx)
	c.group.Go(func() { c.settle(call, version, answer, err) })
	if err != nil {
		return Answer{}, err
	}
	return Answer{status: answer.Status(), contentType: answer.ContentType(), body: answer.Body()}, nil
}

// settle stores the outcome of a run in the claim's row, or withdraws the claim if the
// call certainly did not run.
func (c *Claimer) settle(call Call, version uint64, answer relayer.Answer, failure error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if failure != nil && relayer.AsAttemptError(failure).Ran() == relayer.RanNot {
		_ = c.withdraw(ctx, call, version)
		return
	}
	value := row{State: stateInDoubt, VM: c.vm, BodyDigest: digest(call.Body)}
	if failure == nil {
		value.State = stateDone
		value.Status, value.ContentType = answer.Status(), answer.ContentType()
		value.Body = answer.Body()
	}
	if len(value.Body) > maxInlineBodyBytes {
		value.Object = "claim/" + call.key().Name + "/" + digest(value.Body)
		if c.store.PutObject(ctx, storekeeper.PurposeClaim, value.Object, value.Body) != nil {
			return
		}
		value.Body = nil
	}
	_, _ = c.write(ctx, call, version, value) // if the write fails, resends still get ErrInDoubt
}

// replay answers a call that was claimed before from the claim's row.
func (c *Claimer) replay(ctx context.Context, call Call) (Answer, error) {
	rows, err := c.store.Read(ctx, storekeeper.PurposeClaim, call.key())
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	if rows[0].Version == 0 {
		return Answer{}, ErrNotClaimed // withdrawn in the meantime; the caller may retry
	}
	var found row
	if err := json.Unmarshal(rows[0].Value, &found); err != nil {
		return Answer{}, fmt.Errorf("%w: decode claim: %w", ErrInDoubt, err)
	}
	if found.BodyDigest != digest(call.Body) {
		return Answer{}, ErrDifferentBody
	}
	if found.State != stateDone {
		return Answer{}, ErrInDoubt
	}
	return c.storedAnswer(ctx, found)
}

// storedAnswer returns the answer in a row, and reads its body from the object if it has
// one.
func (c *Claimer) storedAnswer(ctx context.Context, found row) (Answer, error) {
	answer := Answer{status: found.Status, contentType: found.ContentType, body: found.Body, replayed: true}
	if found.Object == "" {
		return answer, nil
	}
	body, err := c.store.GetObject(ctx, storekeeper.PurposeClaim, found.Object)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	answer.body = body
	return answer, nil
}
