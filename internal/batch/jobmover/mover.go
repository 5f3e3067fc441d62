// Package jobmover transfers jobs from a VM that shuts down directly to another one,
// with the progress of their items, without the store.
//
// The receiving VM claims the job in the store, and runs the items once the store has shown that the
// job is open. While the store doesn't answer, it runs them by the word of the sender. Ownership
// is decided by the conditional write of the job's record, as for any other takeover.
package jobmover

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/bodyloader"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// Path is the HTTP path at which a VM receives jobs.
const Path = "/jobs"

// maxBodyBytes bounds the bytes of an encoded job. A larger job is rejected, and its owner
// releases it in the store.
const maxBodyBytes = 8 << 20

// defaultMemoryBytes bounds the jobs that are read at the same time. It is not part of the memory for jobs,
// of which the receiver takes what the job needs.
const defaultMemoryBytes = 12 << 20

// Errors of Move.
var (
	// ErrNotTakenOver means that the other VM certainly has not taken the job over.
	ErrNotTakenOver = errors.New("job not taken over")
	// ErrInDoubt means that the other VM may have taken the job over.
	ErrInDoubt = errors.New("job may have been taken over")
)

// Job is a job as it is sent to another VM.
type Job struct {
	// Record is the job's record as the sender knows it from the store, with the
	// current failure counts, and Version the version of that record.
	Record  batchkeeper.Record `cbor:"record"`
	Version uint64             `cbor:"version"`
	// NamesTeam is whether the record and the items name the job's team, if it has one. A sender of a
	// release without teams drops the names.
	NamesTeam bool `cbor:"namesTeam"`
	// Items are all items of the job, and Ended the indexes of those with a result in
	// the store or in the outbox.
	Items []batchkeeper.Item `cbor:"items"`
	Ended []int              `cbor:"ended"`
	// Progress is the progress of the other items, by index.
	Progress map[int]batchkeeper.Progress `cbor:"progress"`
	// Outbox has the results that are not known to be in the store, in the order of
	// their positions. The first one follows the results that Record counts.
	Outbox []batchkeeper.Result `cbor:"outbox"`
	// Clock is the store's clock as the sender knows it, and Age the time since the
	// record was last known to be the sender's.
	Clock time.Duration `cbor:"clock"`
	Age   time.Duration `cbor:"age"`
}

// Bytes returns the memory that bodies and outputs of the job take, in bytes.
func (j *Job) Bytes() int64 {
	var bytes int64
	for i := range j.Items {
		bytes += j.Items[i].Bytes()
	}
	for _, p := range j.Progress {
		bytes += int64(len(p.Output))
	}
	for i := range j.Outbox {
		bytes += int64(len(j.Outbox[i].Output))
	}
	return bytes
}

// Receiver takes over jobs that other VMs send.
type Receiver interface {
	// TakeOver returns whether this VM runs the job from now on.
	TakeOver(ctx context.Context, job Job) bool
}

// Mover sends jobs to other VMs, and receives theirs as an HTTP handler.
type Mover struct {
	client   *http.Client
	logger   *slog.Logger
	receiver Receiver
	memory   *rationer.Rationer

	mu        sync.Mutex
	addresses map[string]string // by VM
}

var _ http.Handler = (*Mover)(nil)

// Option configures a Mover.
type Option func(*Mover)

// WithMemory sets the budget from which memory for jobs is reserved while they are read and decoded.
func WithMemory(budget *rationer.Rationer) Option {
	return func(m *Mover) { m.memory = budget }
}

// New returns a mover without peers. It reaches other VMs by the transport.
func New(transport http.RoundTripper, logger *slog.Logger, options ...Option) *Mover {
	m := &Mover{
		client: &http.Client{Transport: transport}, logger: logger, addresses: map[string]string{},
		memory: rationer.New(defaultMemoryBytes),
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// SetReceiver sets what takes over incoming jobs. It must be called before the first
// request.
func (m *Mover) SetReceiver(receiver Receiver) { m.receiver = receiver }

// SetPeers replaces the addresses of other VMs, by VM.
func (m *Mover) SetPeers(addresses map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = addresses
}

// Move sends a job to another VM. Its errors wrap ErrNotTakenOver or ErrInDoubt.
func (m *Mover) Move(ctx context.Context, vm string, job Job) error {
	m.mu.Lock()
	address, found := m.addresses[vm]
	m.mu.Unlock()
	if !found {
		return fmt.Errorf("%w: no address for VM %s", ErrNotTakenOver, vm)
	}
	body, err := cbor.Marshal(job)
	if err != nil {
		return fmt.Errorf("%w: encode: %w", ErrNotTakenOver, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotTakenOver, err)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", moveError(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%w: status %d", ErrNotTakenOver, response.StatusCode)
	}
	return nil
}

// moveError returns ErrNotTakenOver for a connection that could not be established, and
// ErrInDoubt for all other failures.
func moveError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return ErrNotTakenOver
	}
	return ErrInDoubt
}

// ServeHTTP receives a job. It answers with status 204 if this VM runs the job from now
// on, 503 if it doesn't, and 400 if the body can't be read or decoded.
func (m *Mover) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reservation := m.memory.NewReservation()
	defer reservation.Release()
	body, err := bodyloader.Load(w, r, maxBodyBytes, reservation)
	if errors.Is(err, rationer.ErrExhausted) {
		m.logger.Warn("job of another VM not read, no memory", "bytes", r.ContentLength)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var job Job
	if err := lenientdecoder.Decode(body, &job); err != nil {
		m.logger.Warn("cannot decode job from another VM", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !m.receiver.TakeOver(r.Context(), job) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
