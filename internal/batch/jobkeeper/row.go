// Package jobkeeper stores batch jobs in the platform's store: their input
// files, their chunks, and the committed results.
//
// Items have no rows of their own. A file is split into chunks during the
// upload. Each chunk is stored as one object, and has one row for each job that
// runs the file. Results are stored in objects that the row of their chunk
// references; an object that no row references is not committed.
package jobkeeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// Errors that the methods of Keeper return.
var (
	// ErrNotFound means that the caller has no such job or file.
	ErrNotFound = errors.New("not found")
	// ErrDifferentBody means that the idempotency key was used with a different request body.
	ErrDifferentBody = errors.New("idempotency key used with a different body")
	// ErrBadInput means that an input file is malformed or exceeds a limit.
	ErrBadInput = errors.New("bad batch input")
	// ErrStore means that the call to the store failed, or that the write
	// conflicted too often with concurrent ones; the call may be retried later.
	ErrStore = errors.New("store unavailable")
	// ErrInDoubt means that the write may have taken effect, or may still do so. A
	// resend of the same request finds out.
	ErrInDoubt = errors.New("store write in doubt")
	// ErrOwnershipLost means that the chunk has changed since this process read it:
	// another process owns it, or it is done.
	ErrOwnershipLost = errors.New("chunk owned by another process")
	// ErrCancelled means that the job is no longer in progress.
	ErrCancelled = errors.New("job cancelled")
)

// State is the lifecycle state of a job.
type State string

// The states of a job. StateCompleted and StateCancelled are final.
const (
	StateInProgress State = "in_progress"
	StateCompleted  State = "completed"
	StateCancelled  State = "cancelled"
)

// FileRow is the table row of an uploaded file.
type FileRow struct {
	Caller  string    `json:"caller"`
	Name    string    `json:"name"`
	Bytes   int64     `json:"bytes"`
	Items   int       `json:"items"`
	Model   string    `json:"model"`
	Created time.Time `json:"created"`
	// Chunks is the number of chunks. ChunkList is the object that lists them,
	// since the list of a large file doesn't fit into a row.
	Chunks    int    `json:"chunks"`
	ChunkList string `json:"chunkList"`
	Endpoint  string `json:"endpoint"`
}

// FileChunk is the object that holds one chunk of a file, and the number of items in it.
type FileChunk struct {
	Object string `json:"object"`
	Items  int    `json:"items"`
}

// JobRow is the table row of a job.
type JobRow struct {
	ID         string    `json:"id"`
	Caller     string    `json:"caller"`
	File       string    `json:"file"`
	Model      string    `json:"model"`
	Endpoint   string    `json:"endpoint"`
	BodyDigest string    `json:"bodyDigest"`
	Created    time.Time `json:"created"`
	Deadline   time.Time `json:"deadline"`
	Items      int       `json:"items"`
	Chunks     int       `json:"chunks"`
	DoneChunks int       `json:"doneChunks"`
	Completed  int       `json:"completed"`
	Failed     int       `json:"failed"`
	State      State     `json:"state"`
	Ended      time.Time `json:"ended,omitzero"`
}

// ChunkRow is the table row of one chunk of a job. ResultObjects are the names
// of the objects with its results, in the order of their commits.
type ChunkRow struct {
	Object string `json:"object"`
	Items  int    `json:"items"`
	// Owner is the process that runs the chunk, or the zero value.
	Owner Owner `json:"owner,omitzero"`
	// Epoch is the number of times that the chunk was claimed.
	Epoch         int      `json:"epoch"`
	ResultObjects []string `json:"parts,omitempty"`
	Completed     int      `json:"completed"`
	Failed        int      `json:"failed"`
	Done          bool     `json:"done"`
}

// Owner identifies one process of one VM.
type Owner struct {
	VM      string `json:"vm"`
	Process uint64 `json:"process"`
}

// LeaseRow is the table row that a process with chunks rewrites periodically to
// show that it is alive.
type LeaseRow struct {
	Beat uint64 `json:"beat"`
}

// ChunkRef identifies a chunk by its job and its position in the job's file.
type ChunkRef struct {
	Job    string
	Number int
}

// Names of the tables.
const (
	fileTable  = "files"
	JobTable   = "jobs"
	openTable  = "openJobs"
	ChunkTable = "chunks"
	leaseTable = "leases"
)

// jobParts is the number of parts over which jobs are distributed. All rows of
// a job are in one part, since transactions change several of them. The store
// limits the writes to one part to a quarter of the writes to the whole store.
const jobParts = 4

func jobPart(n uint64) string { return fmt.Sprintf("jobs-%d", n%jobParts) }

// partOf returns the part that holds the rows of a job or a file.
func partOf(id string) string { return jobPart(xxhash.Sum64String(id)) }

func fileKey(id string) rowstore.Key {
	return rowstore.Key{Table: fileTable, Part: partOf(id), Name: id}
}

func jobKey(id string) rowstore.Key {
	return rowstore.Key{Table: JobTable, Part: partOf(id), Name: id}
}

func chunkKey(r ChunkRef) rowstore.Key {
	return rowstore.Key{Table: ChunkTable, Part: partOf(r.Job), Name: fmt.Sprintf("%s/%06d", r.Job, r.Number)}
}

// chunkSpan returns the range of a job's chunk rows, starting at a chunk number.
func chunkSpan(job string, from int) storekeeper.Span {
	span := storekeeper.PrefixSpan(ChunkTable, partOf(job), job+"/")
	span.From = chunkKey(ChunkRef{Job: job, Number: from}).Name
	return span
}

// leaseKey returns the key of an owner's lease row.
func leaseKey(o Owner) rowstore.Key {
	return rowstore.Key{Table: leaseTable, Part: leaseTable, Name: fmt.Sprintf("%s/%d", o.VM, o.Process)}
}

// openKey returns the key of an open job's index row. The rows of a model sort
// by deadline.
func openKey(j JobRow) rowstore.Key {
	name := fmt.Sprintf("%s/%015d/%s", j.Model, j.Deadline.UnixMilli(), j.ID)
	return rowstore.Key{Table: openTable, Part: partOf(j.ID), Name: name}
}

// resultObjectName returns the name of the result object of a commit, which is the
// n-th of its chunk counted from 0. The name contains a digest of the content, so that
// a duplicate of an earlier write that the network delivers late can't overwrite the
// object of a later write.
func resultObjectName(r ChunkRef, epoch, n int, text []byte) string {
	return fmt.Sprintf("results/%s/%06d/%d-%d-%s", r.Job, r.Number, epoch, n, digest(text)[:16])
}

// Versioned is the decoded value of a row with the row's version. Version 0
// means that the row doesn't exist.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

// decodeRow decodes the JSON value of a row, if the row exists.
func decodeRow[T any](row rowstore.Row) (Versioned[T], error) {
	out := Versioned[T]{Version: row.Version}
	if row.Version == 0 {
		return out, nil
	}
	if err := json.Unmarshal(row.Value, &out.Value); err != nil {
		return out, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return out, nil
}
