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

// Store is the store as this package needs it.
type Store interface {
	Transact(context.Context, storekeeper.Write) (uint64, error)
	Read(context.Context, storekeeper.Purpose, ...rowstore.Key) ([]rowstore.Row, error)
	Scan(context.Context, storekeeper.Purpose, storekeeper.Span) (rows []rowstore.Row, next string, err error)
	PutObject(context.Context, storekeeper.Purpose, string, []byte) error
	GetObject(context.Context, storekeeper.Purpose, string) ([]byte, error)
}

// Keeper reads and writes jobs.
type Keeper struct {
	store Store
}

// New returns a keeper of jobs in a store.
func New(store Store) *Keeper { return &Keeper{store: store} }

// Submission is a caller's order to run a file as a job.
type Submission struct {
	Caller   string
	Key      string
	File     string
	Endpoint string
	Deadline time.Time
	// Body is the request as it came, to tell a resend from another request.
	Body []byte
	Now  time.Time
}

// chunksPerWrite bounds the rows of one transaction, each with its condition.
const chunksPerWrite = storekeeper.MaxWriteEntries / 2

// Submit accepts a job. A resend with the same key returns the same job. The
// job is acknowledged only once its row and all its chunks' rows are durable.
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
		return resent(found.Value, job)
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
		// A resend of the same request to another VM was faster.
		found, err = k.readJob(ctx, job.ID)
		if err != nil {
			return JobRow{}, err
		}
		return resent(found.Value, job)
	}
	return job, translate(err)
}

func newJob(s Submission, file FileRow) JobRow {
	return JobRow{
		ID: jobID(s.Caller, s.Key), Caller: s.Caller, File: s.File, Model: file.Model, Endpoint: s.Endpoint,
		BodyDigest: digest(s.Body), Created: s.Now, Deadline: s.Deadline,
		Items: file.Items, Chunks: file.Chunks, State: StateInProgress,
	}
}

// jobID gives every resend of a submission the same job.
func jobID(caller, key string) string {
	return "batch_" + digest([]byte(caller + "\x00" + key))[:32]
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func resent(found, wanted JobRow) (JobRow, error) {
	if found.BodyDigest != wanted.BodyDigest {
		return JobRow{}, ErrDifferentBody
	}
	return found, nil
}

// putChunks writes the chunk rows that don't exist yet. Rows that a lost
// attempt left behind are the same.
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
			return translate(err)
		}
	}
	return nil
}

// Job returns a caller's job.
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
		return Versioned[JobRow]{}, translate(err)
	}
	return decodeRow[JobRow](rows[0])
}

// maxConflicts bounds how often a change is tried against others' changes.
const maxConflicts = 50

// Cancel stops a job. A job that has ended stays as it is.
func (k *Keeper) Cancel(ctx context.Context, caller, id string, now time.Time) (JobRow, error) {
	for range maxConflicts {
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
		return job, translate(err)
	}
	return JobRow{}, fmt.Errorf("%w: cancel %s: too many conflicts", ErrStore, id)
}

// Results calls write with each committed part of a job's results, in the
// order of the input's chunks.
func (k *Keeper) Results(ctx context.Context, job JobRow, write func([]byte) error) error {
	span := chunkSpan(job.ID, 0)
	for {
		rows, next, err := k.store.Scan(ctx, storekeeper.PurposeJob, span)
		if err != nil {
			return translate(err)
		}
		for _, row := range rows {
			if err := k.writeParts(ctx, row, write); err != nil {
				return err
			}
		}
		if next == "" {
			return nil
		}
		span.From = next
	}
}

func (k *Keeper) writeParts(ctx context.Context, row rowstore.Row, write func([]byte) error) error {
	chunk, err := decodeRow[ChunkRow](row)
	if err != nil {
		return err
	}
	for _, part := range chunk.Value.Parts {
		text, err := k.store.GetObject(ctx, storekeeper.PurposeJob, part)
		if err != nil {
			return translate(err)
		}
		if err := write(text); err != nil {
			return err
		}
	}
	return nil
}

// translate turns the store's errors into this layer's.
func translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storekeeper.ErrNotFound):
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	case errors.Is(err, storekeeper.ErrInDoubt):
		return fmt.Errorf("%w: %w", ErrInDoubt, err)
	default:
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
}
