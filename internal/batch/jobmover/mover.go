// Package jobmover hands jobs from a VM that stops to another one, with all that it
// has of their items, without the store.
//
// The one that takes a job over runs its items at once, and makes itself the owner in
// the store as soon as the store is there. Until then nobody else can: what decides is
// the conditional write of the job's record, as ever.
package jobmover

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// Path is where a VM takes jobs over.
const Path = "/jobs"

// maxBody bounds a job on its way. A larger one is released in the store.
const maxBody = 8 << 20

// Errors of this layer.
var (
	// ErrNotTaken means that the other VM surely has not taken the job.
	ErrNotTaken = errors.New("job not taken over")
	// ErrUnknown means that the other VM may have taken the job.
	ErrUnknown = errors.New("job may have been taken over")
)

// Job is a job on its way to another VM.
type Job struct {
	// Record is the job's record as the sender knows it to be in the store.
	Record  batchkeeper.Record `cbor:"record"`
	Version uint64             `cbor:"version"`
	// Items are all items, and Ended the indexes of those that have a result, in the
	// store or in the outbox.
	Items []batchkeeper.Item `cbor:"items"`
	Ended []int              `cbor:"ended"`
	// Progress is what there is of the other items, by their index.
	Progress map[int]batchkeeper.Progress `cbor:"progress"`
	// Outbox has the results that are not known to be in the store, in the order of
	// their positions, the first of which follows those of the record.
	Outbox []batchkeeper.Result `cbor:"outbox"`
	// Clock is the store's clock as the sender knows it, and Age how long ago the
	// record was last known to be as it is.
	Clock time.Duration `cbor:"clock"`
	Age   time.Duration `cbor:"age"`
}

// Bytes returns what the job takes of a VM's memory.
func (j *Job) Bytes() int64 {
	var bytes int64
	for i := range j.Items {
		bytes += int64(len(j.Items[i].Body))
	}
	for _, p := range j.Progress {
		bytes += int64(len(p.Output))
	}
	for i := range j.Outbox {
		bytes += int64(len(j.Outbox[i].Output))
	}
	return bytes
}

// Taker takes jobs over.
type Taker interface {
	// Take returns whether this VM runs the job from now on.
	Take(ctx context.Context, job Job) bool
}

// Mover hands jobs to other VMs, and takes theirs.
type Mover struct {
	client *http.Client
	logger *slog.Logger
	taker  Taker

	mu        sync.Mutex
	addresses map[string]string // by VM
}

var _ http.Handler = (*Mover)(nil)

// New returns a mover that knows no other VMs. The transport reaches them.
func New(transport http.RoundTripper, logger *slog.Logger) *Mover {
	return &Mover{client: &http.Client{Transport: transport}, logger: logger, addresses: map[string]string{}}
}

// SetReceiver sets what takes jobs over. It must be called before the first request.
func (m *Mover) SetReceiver(t Taker) { m.taker = t }

// SetPeers replaces the addresses of other VMs.
func (m *Mover) SetPeers(addresses map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = addresses
}

// Move hands a job to another VM. It returns ErrNotTaken or ErrUnknown.
func (m *Mover) Move(ctx context.Context, vm string, job Job) error {
	m.mu.Lock()
	address, found := m.addresses[vm]
	m.mu.Unlock()
	if !found {
		return fmt.Errorf("%w: no address of %s", ErrNotTaken, vm)
	}
	text, err := cbor.Marshal(job)
	if err != nil {
		return fmt.Errorf("%w: encode: %w", ErrNotTaken, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotTaken, err)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", doubt(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%w: status %d", ErrNotTaken, response.StatusCode)
	}
	return nil
}

// doubt tells a connection that could not be made from all other failures.
func doubt(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return ErrNotTaken
	}
	return ErrUnknown
}

// ServeHTTP takes a job over.
func (m *Mover) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var job Job
	if err := cbor.Unmarshal(text, &job); err != nil {
		m.logger.Warn("job of another VM not understood", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !m.taker.Take(r.Context(), job) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
