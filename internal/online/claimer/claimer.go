// Package claimer runs calls that may not be repeated at most once. A call is
// sent only after a claim on its key is durable; whoever finds another's claim
// answers with its result, or says truthfully that the call may have run.
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
	// ErrNotClaimed means that no claim could be made durable; the call was not
	// run.
	ErrNotClaimed = errors.New("no durable claim could be made")
	// ErrDifferentBody means that the key was used for another body.
	ErrDifferentBody = errors.New("idempotency key used with a different body")
	// ErrInDoubt means that the call was claimed before and its result is not
	// known; it may have run, and won't be run again.
	ErrInDoubt = errors.New("the call may have run before")
)

const (
	claimTimeout = 3 * time.Second
	// settleTimeout bounds the work that goes on after the caller was answered.
	settleTimeout  = time.Minute
	maxInlineBytes = 16 << 10
)

// state is where a claim is on its way.
type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateInDoubt state = "inDoubt"
)

// row is the table row of a claim.
type row struct {
	State       state  `json:"state"`
	VM          string `json:"vm"`
	BodyDigest  string `json:"bodyDigest"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// Answer is the answer to a call, now or earlier.
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

// Replayed tells whether the answer is that of an earlier run.
func (a Answer) Replayed() bool { return a.replayed }

// Call is a call that may not be repeated.
type Call struct {
	Caller  string
	Service string
	Key     string
	Body    []byte
	// Run sends the call once.
	Run func(context.Context) (relayer.Answer, error)
}

const table = "claims"

// key spreads claims over sixteen parts of the store.
func (c Call) key() rowstore.Key {
	id := digest([]byte(c.Caller + "\x00" + c.Key))
	return rowstore.Key{Table: table, Part: table + "-" + id[:1], Name: c.Service + "/" + id}
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Store is the store as this package needs it.
type Store interface {
	Transact(context.Context, storekeeper.Write) (uint64, error)
	Read(context.Context, storekeeper.Purpose, ...rowstore.Key) ([]rowstore.Row, error)
	PutObject(context.Context, storekeeper.Purpose, string, []byte) error
	GetObject(context.Context, storekeeper.Purpose, string) ([]byte, error)
}

// Claimer makes claims for a VM.
type Claimer struct {
	vm    string
	store Store
	group sync.WaitGroup
}

// New returns a claimer.
func New(vm string, store Store) *Claimer { return &Claimer{vm: vm, store: store} }

// Wait returns once nothing of a call is left to settle.
func (c *Claimer) Wait() { c.group.Wait() }

// claimResult is the outcome of a write of the claim row.
type claimResult struct {
	version uint64
	err     error
}

// handover passes the outcome of a claim to the caller, unless the caller has
// given up by then.
type handover struct {
	outcome chan claimResult

	mu      sync.Mutex
	givenUp bool
}

// deliver returns false if nobody waits for the outcome any more.
func (h *handover) deliver(r claimResult) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.givenUp {
		return false
	}
	h.outcome <- r
	return true
}

// giveUp stops waiting. It returns an outcome that came in just before.
func (h *handover) giveUp() (claimResult, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.givenUp = true
	select {
	case got := <-h.outcome:
		return got, true
	default:
		return claimResult{}, false
	}
}

// Do runs a call, or returns the answer of its earlier run.
//
// The write of the claim goes on after this method has given up on it, since
// its outcome decides what a later resend finds: a claim that turns out to be
// durable although nothing was sent is taken back.
func (c *Claimer) Do(ctx context.Context, call Call) (Answer, error) {
	h := &handover{outcome: make(chan claimResult, 1)}
	c.group.Go(func() { c.claim(call, h) })
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	select {
	case got := <-h.outcome:
		return c.proceed(ctx, call, got)
	case <-timer.C:
	case <-ctx.Done():
	}
	if got, came := h.giveUp(); came {
		return c.proceed(ctx, call, got)
	}
	return Answer{}, ErrNotClaimed
}

func (c *Claimer) claim(call Call, h *handover) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	version, err := c.write(ctx, call, 0, row{State: stateClaimed, VM: c.vm, BodyDigest: digest(call.Body)})
	if !h.deliver(claimResult{version: version, err: err}) && err == nil {
		_ = c.withdraw(ctx, call, version)
	}
}

func (c *Claimer) write(ctx context.Context, call Call, version uint64, value row) (uint64, error) {
	return c.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeClaim, Priority: storekeeper.PriorityAcknowledge,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: call.key(), Version: version}},
			Puts:       []rowstore.Put{rowstore.PutJSON(call.key(), value)},
		},
	})
}

// withdraw takes back the claim of a call that was surely not run.
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

// run sends the claimed call and keeps its outcome. The caller gets the answer
// without waiting for the store; until the outcome is durable, a resend is told
// that the call may have run.
func (c *Claimer) run(ctx context.Context, call Call, version uint64) (Answer, error) {
	answer, err := call.Run(ctx)
	c.group.Go(func() { c.settle(call, version, answer, err) })
	if err != nil {
		return Answer{}, err
	}
	return Answer{status: answer.Status(), contentType: answer.ContentType(), body: answer.Body()}, nil
}

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
	if len(value.Body) > maxInlineBytes {
		value.Object = "claim/" + call.key().Name + "/" + digest(value.Body)
		if c.store.PutObject(ctx, storekeeper.PurposeClaim, value.Object, value.Body) != nil {
			return
		}
		value.Body = nil
	}
	_, _ = c.write(ctx, call, version, value) // a lost write leaves the claim in doubt, which is true
}

// replay answers a call that was claimed before.
func (c *Claimer) replay(ctx context.Context, call Call) (Answer, error) {
	rows, err := c.store.Read(ctx, storekeeper.PurposeClaim, call.key())
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	if rows[0].Version == 0 {
		return Answer{}, ErrNotClaimed // withdrawn meanwhile; the caller may come back
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
	return c.earlier(ctx, found)
}

func (c *Claimer) earlier(ctx context.Context, found row) (Answer, error) {
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
