package jobkeeper

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// Store is the subset of storekeeper.Keeper that this package uses.
type Store interface {
	Transact(context.Context, storekeeper.Write) (uint64, error)
	Read(context.Context, storekeeper.Purpose, ...rowstore.Key) ([]rowstore.Row, error)
	Scan(context.Context, storekeeper.Purpose, storekeeper.Span) (rows []rowstore.Row, next string, err error)
	PutObject(context.Context, storekeeper.Purpose, string, []byte) error
	GetObject(context.Context, storekeeper.Purpose, string) ([]byte, error)
}

// Keeper reads and writes jobs, their files and their results. It is safe for
// concurrent use.
type Keeper struct {
	store Store
}

// New returns a Keeper that stores its data in the given store.
func New(store Store) *Keeper { return &Keeper{store: store} }

// Submission is a caller's request to run an input file as a job. Key is the
// idempotency key of the request.
type Submission struct {
	Caller   string
	Key      string
	File     string
	Endpoint string
	Deadline time.Time
	// Body is the unparsed request body. It distinguishes a resend from a
	// different request with the same key.
	Body []byte
	Now  time.Time
}

// chunksPerWrite is the maximum number of chunk rows in one transaction. Each
// row takes two entries: a put and its condition.
const chunksPerWrite = storekeeper.MaxWriteEntries / 2

// Submit creates a job and returns it once its row and the rows of all its
// chunks are durable. A resend with the same key returns the existing job. The
// error is ErrNotFound if the caller has no such file, and ErrDifferentBody if
// the key was used with a different body.
func (k *Keeper) Submit(ctx context.Context, s Submission) (JobRow, error) {
	file, err := k.File(ctx, s.Caller, s.File)
	if err != nil {
		return JobRow{}, err
	}
	job := newJob(s, file)
	found, err := k.readJob(ctx, job.ID)
	if err != nil {
		return JobRow{}, err
	}
	if found.Version != 0 {
		return checkResend(found.Value, job)
	}
	chunks, err := k.fileChunks(ctx, file)
	if err != nil {
		return JobRow{}, err
	}
	if err := k.putChunks(ctx, job, chunks); err != nil {
		return JobRow{}, err
	}
	_, err = k.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeJob, Priority: storekeeper.PriorityAcknowledge,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: jobKey(job.ID)}},
			Puts:       []rowstore.Put{rowstore.PutJSON(jobKey(job.ID), job), rowstore.PutJSON(openKey(job), job.ID)},
		},
	})
	if errors.Is(err, storekeeper.ErrConflict) {
		// A resend to another VM has created the job concurrently.
		found, err = k.readJob(ctx, job.ID)
		if err != nil {
			return JobRow{}, err
		}
		return checkResend(found.Value, job)
	}
	return job, wrapStoreError(err)
}

func newJob(s Submission, file FileRow) JobRow {
	return JobRow{
		ID: jobID(s.Caller, s.Key), Caller: s.Caller, File: s.File, Model: file.Model, Endpoint: s.Endpoint,
		BodyDigest: digest(s.Body), Created: s.Now, Deadline: s.Deadline,
		Items: file.Items, Chunks: file.Chunks, State: StateInProgress,
	}
}

// jobID derives the ID of a job from the caller and the idempotency key, so that
// every resend of a submission yields the same job.
func jobID(caller, key string) string {
	return "batch_" + digest([]byte(caller + "\x00" + key))[:32]
}

// digest returns the SHA-256 hash of a text in hexadecimal.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// checkResend returns the existing job of a submission, or ErrDifferentBody if the
// bodies of the two requests differ.
func checkResend(existing, submitted JobRow) (JobRow, error) {
	if existing.BodyDigest != submitted.BodyDigest {
		return JobRow{}, ErrDifferentBody
	}
	return existing, nil
}

// putChunks creates the chunk rows of a job. A conflict means that an earlier
// attempt to submit the job has written the same rows; it is not an error.
func (k *Keeper) putChunks(ctx context.Context, job JobRow, chunks []FileChunk) error {
	for from := 0; from < len(chunks); from += chunksPerWrite {
		write := storekeeper.Write{Purpose: storekeeper.PurposeJob, Priority: storekeeper.PriorityAcknowledge}
		for n := from; n < min(from+chunksPerWrite, len(chunks)); n++ {
			key := chunkKey(ChunkRef{Job: job.ID, Number: n})
			row := ChunkRow{Object: chunks[n].Object, Items: chunks[n].Items}
			write.Conditions = append(write.Conditions, rowstore.Condition{Key: key})
			write.Puts = append(write.Puts, rowstore.PutJSON(key, row))
		}
		_, err := k.store.Transact(ctx, write)
		if err != nil && !errors.Is(err, storekeeper.ErrConflict) {
			return wrapStoreError(err)
		}
	}
	return nil
}

// Job returns a caller's job, or ErrNotFound.
func (k *Keeper) Job(ctx context.Context, caller, id string) (JobRow, error) {
	found, err := k.readJob(ctx, id)
	if err != nil {
		return JobRow{}, err
	}
	if found.Version == 0 || found.Value.Caller != caller {
		return JobRow{}, ErrNotFound
	}
	return found.Value, nil
}

func (k *Keeper) readJob(ctx context.Context, id string) (Versioned[JobRow], error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeJob, jobKey(id))
	if err != nil {
		return Versioned[JobRow]{}, wrapStoreError(err)
	}
	return decodeRow[JobRow](rows[0])
}

// maxTransactionAttempts is how often a transaction is attempted while concurrent
// writes conflict with it.
const maxTransactionAttempts = 50

// Cancel cancels a job that is in progress and returns it. A job that has ended
// is returned unchanged. The error is ErrNotFound if the caller has no such job.
func (k *Keeper) Cancel(ctx context.Context, caller, id string, now time.Time) (JobRow, error) {
	for range maxTransactionAttempts {
		found, err := k.readJob(ctx, id)
		if err != nil {
			return JobRow{}, err
		}
		job := found.Value
		if found.Version == 0 || job.Caller != caller {
			return JobRow{}, ErrNotFound
		}
		if job.State != StateInProgress {
			return job, nil
		}
		job.State = StateCancelled
		job.Ended = now
		_, err = k.store.Transact(ctx, storekeeper.Write{
			Purpose: storekeeper.PurposeJob, Priority: storekeeper.PriorityAcknowledge,
			Tx: rowstore.Tx{
				Conditions: []rowstore.Condition{{Key: jobKey(id), Version: found.Version}},
				Puts:       []rowstore.Put{rowstore.PutJSON(jobKey(id), job)},
				Removes:    []rowstore.Key{openKey(job)},
			},
		})
		if errors.Is(err, storekeeper.ErrConflict) {
			continue
		}
		return job, wrapStoreError(err)
	}
	return JobRow{}, fmt.Errorf("%w: cancel %s: too many conflicts", ErrStore, id)
}

// Results calls write with each object of a job's committed results, in the order
// of the chunks in the input file. It returns the first error of write unchanged.
func (k *Keeper) Results(ctx context.Context, job JobRow, write func([]byte) error) error {
	span := chunkSpan(job.ID, 0)
	for {
		rows, next, err := k.store.Scan(ctx, storekeeper.PurposeJob, span)
		if err != nil {
			return wrapStoreError(err)
		}
		for _, row := range rows {
			if err := k.writeResultObjects(ctx, row, write); err != nil {
				return err
			}
		}
		if next == "" {
			return nil
		}
		span.From = next
	}
}

// writeResultObjects calls write with each result object that a chunk's row references.
func (k *Keeper) writeResultObjects(ctx context.Context, row rowstore.Row, write func([]byte) error) error {
	chunk, err := decodeRow[ChunkRow](row)
	if err != nil {
		return err
	}
	for _, object := range chunk.Value.ResultObjects {
		text, err := k.store.GetObject(ctx, storekeeper.PurposeJob, object)
		if err != nil {
			return wrapStoreError(err)
		}
		if err := write(text); err != nil {
			return err
		}
	}
	return nil
}

// wrapStoreError maps an error of the store to an error of this package that wraps it. An object that is
// missing is an ErrStore: only rows name objects, and what has the row exists.
func wrapStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storekeeper.ErrInDoubt):
		return fmt.Errorf("%w: %w", ErrInDoubt, err)
	default:
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
}
