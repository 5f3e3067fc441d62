// Package jobkeeper keeps batch jobs in the platform's store: their input
// files, their chunks, and the results that were committed.
//
// Items are never a row each. A file is cut into chunks when it is uploaded; a
// chunk is one object, and one row once a job runs on the file. Results are
// objects that a chunk's row names; what no row names was never committed.
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

// Errors of this layer.
var (
	// ErrNotFound means that the caller has no such job or file.
	ErrNotFound = errors.New("not found")
	// ErrDifferentBody means that the idempotency key was used for another body.
	ErrDifferentBody = errors.New("idempotency key used with a different body")
	// ErrBadInput means that an input file can't be accepted.
	ErrBadInput = errors.New("bad batch input")
	// ErrStore means that the store can't be reached; try again later.
	ErrStore = errors.New("store unavailable")
	// ErrInDoubt means that the write may have taken effect; a resend tells.
	ErrInDoubt = errors.New("store write in doubt")
	// ErrOwnershipLost means that another process owns the chunk now.
	ErrOwnershipLost = errors.New("chunk owned by another process")
	// ErrCancelled means that the job was cancelled.
	ErrCancelled = errors.New("job cancelled")
)

// State is the state of a job.
type State string

// The states of a job. The last two are final.
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
	// Chunks is the number of chunks; ChunkList is the object that lists them,
	// as the list of a large file doesn't fit into a row.
	Chunks    int    `json:"chunks"`
	ChunkList string `json:"chunkList"`
	Endpoint  string `json:"endpoint"`
}

// FileChunk is one object of a file.
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

// ChunkRow is the table row of one chunk of a job.
type ChunkRow struct {
	Object string `json:"object"`
	Items  int    `json:"items"`
	// Owner is the process that runs the chunk, or empty.
	Owner Owner `json:"owner,omitzero"`
	// Epoch counts the owners that the chunk has had.
	Epoch     int      `json:"epoch"`
	Parts     []string `json:"parts,omitempty"`
	Completed int      `json:"completed"`
	Failed    int      `json:"failed"`
	Done      bool     `json:"done"`
}

// Owner is one process of one VM.
type Owner struct {
	VM      string `json:"vm"`
	Process uint64 `json:"process"`
}

// LeaseRow is the table row by which a process that owns chunks shows that it
// lives.
type LeaseRow struct {
	Beat uint64 `json:"beat"`
}

// ChunkRef names one chunk of a job.
type ChunkRef struct {
	Job    string
	Number int
}

// Tables of rows.
const (
	fileTable  = "files"
	JobTable   = "jobs"
	openTable  = "openJobs"
	ChunkTable = "chunks"
	leaseTable = "leases"
)

// jobParts is the number of parts that jobs are spread over. The rows of one
// job lie in one part, since they change together, and a part takes a quarter
// of the writes that the whole store takes.
const jobParts = 4

func jobPart(n uint64) string { return fmt.Sprintf("jobs-%d", n%jobParts) }

// partOf returns the part in which the rows of a job or a file lie.
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

// chunkSpan returns the rows of a job's chunks from a number on.
func chunkSpan(job string, from int) storekeeper.Span {
	span := storekeeper.PrefixSpan(ChunkTable, partOf(job), job+"/")
	span.From = chunkKey(ChunkRef{Job: job, Number: from}).Name
	return span
}

// leaseKey returns the key of an owner's lease row.
func leaseKey(o Owner) rowstore.Key {
	return rowstore.Key{Table: leaseTable, Part: leaseTable, Name: fmt.Sprintf("%s/%d", o.VM, o.Process)}
}

// openKey orders a model's open jobs by their deadline.
func openKey(j JobRow) rowstore.Key {
	name := fmt.Sprintf("%s/%015d/%s", j.Model, j.Deadline.UnixMilli(), j.ID)
	return rowstore.Key{Table: openTable, Part: partOf(j.ID), Name: name}
}

// partKey has the content's digest in it, so that a copy of a write that the
// network delivers late can't replace what a later write stored.
func partKey(r ChunkRef, epoch, part int, text []byte) string {
	return fmt.Sprintf("results/%s/%06d/%d-%d-%s", r.Job, r.Number, epoch, part, digest(text)[:16])
}

// Versioned is a row's value with its version; version 0 means no row.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

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
