// Package batchkeeper stores batch jobs in the platform's store: their items, their
// ownership and their results.
//
// A transaction covers only one part (partition) of the store, and each part has a limited
// transaction rate. All rows of a job are therefore in one part, and jobs are distributed
// over several parts by a hash of their identifiers:
//
//	jobs          ID             Record: owner, counts, deadlines
//	jobContent    ID/copy/chunk  the encoded items, split into rows
//	jobResults    ID/position    one immutable result per row
//	jobResultRest ID/position/n  continuation rows of a long result
//	jobProgress   ID/item        partial output of a running item
//
// The table jobAdmission is in a part of its own. It has one row per team and route, which
// serializes admission under a token quota.
//
// The transaction that writes a job's Record accepts the job. From then on the owner is
// the only one to write to it, apart from a cancellation or a takeover, and every write
// requires the Record to have the version that the writer has read. A takeover changes
// the Record first, so an owner that was paused or disconnected can't add results to a job
// that another process runs. An owner renews its Record periodically; a Record that stays
// unchanged indicates that its owner has failed.
package batchkeeper

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Errors returned by Keeper.
var (
	// ErrNotFound reports that the job, or the item in it, doesn't exist.
	ErrNotFound = errors.New("job or item not found")
	// ErrOverQuota reports that the job's tokens exceed the free capacity of its route
	// for its team.
	ErrOverQuota = errors.New("token quota of the route exceeded")
	// ErrNotWritten reports that nothing was written.
	ErrNotWritten = errors.New("nothing written to the store")
	// ErrInDoubt reports that a write may have taken effect, or may still do so.
	ErrInDoubt = errors.New("store write in doubt")
	// ErrOwnershipLost reports that another process has changed the job's record: the job
	// has another owner or was cancelled.
	ErrOwnershipLost = errors.New("job has another owner or was cancelled")
	// ErrNotRead reports that the store could not be read.
	ErrNotRead = errors.New("store read failed")
	// ErrCorrupt reports that a row can't be decoded, or that rows of a result are missing.
	ErrCorrupt = errors.New("corrupt row")
)

const (
	tableJobs         = "jobs"
	tableContent      = "jobContent"
	tableResults      = "jobResults"
	tableContinuation = "jobResultRest"
	tableProgress     = "jobProgress"
	tableAdmission    = "jobAdmission"
	admissionPart     = "jobAdmission"
)

// Parts is the number of parts of the store that jobs are distributed over.
const Parts = 16

// PartOf returns the number of the part that holds a job.
func PartOf(id string) int { return int(xxhash.Sum64String(id) % Parts) }

func partName(n int) string { return fmt.Sprintf("jobs-%02d", n) }

func partNameOf(id string) string { return partName(PartOf(id)) }

// Owner identifies the process that runs a job; the zero value means none.
type Owner struct {
	VM   string `cbor:"vm"`
	Boot uint64 `cbor:"boot"`
}

// Record is the state of a job apart from its items and results.
type Record struct {
	ID    string `cbor:"id"`
	Route string `cbor:"route"`
	Host  string `cbor:"host"`
	// Team is the name of the team whose job it is; empty if it is everyone's, or if the record was
	// written by a release that doesn't store it.
	Team  string `cbor:"team,omitempty"`
	Owner Owner  `cbor:"owner"`
	Items int    `cbor:"items"`
	// ContentBytes is the size of the encoded items; 0 if the record was written by a release that doesn't store it.
	ContentBytes int64 `cbor:"contentBytes,omitempty"`
	// Configuration is the version of the configuration under which the job was accepted; 0 if
	// the record was written by a release that doesn't store it.
	Configuration uint64 `cbor:"configuration,omitempty"`
	// Results is the number of items that have a result.
	Results int `cbor:"results"`
	// Tokens is the sum of the tokens of items that have no result.
	Tokens int64 `cbor:"tokens"`
	// Due and Expires are times on the store's clock: when all results are due, and when
	// items without a result are abandoned.
	Due       time.Duration `cbor:"due"`
	Expires   time.Duration `cbor:"expires"`
	Cancelled bool          `cbor:"cancelled"`
	// Writes counts the owner's writes. It lets the owner determine whether a write whose
	// response was lost has taken effect.
	Writes uint64 `cbor:"writes"`
	// FailureCounts has the failed runs of items without a result, by item index.
	FailureCounts map[int]FailureCounts `cbor:"trials"`
}

// Open returns whether items of the job may still run.
func (r *Record) Open() bool { return !r.Cancelled && r.Results < r.Items }

// FailureCounts counts the failed runs of one item.
type FailureCounts struct {
	// Failures is the number of runs that the upstream answered with an error.
	Failures int `cbor:"failures"`
	// Crashes is the number of runs during which the upstream failed.
	Crashes int `cbor:"crashes"`
}

// Item is one request of a job.
type Item struct {
	ID     string `cbor:"id"`
	URI    string `cbor:"uri"`
	Header Header `cbor:"header"`
	Body   []byte `cbor:"body"`
	Tokens int64  `cbor:"tokens"`
	// Team is that of the job. Unlike its record, its items are never written again: a release without
	// teams that writes the record drops the name there.
	Team string `cbor:"team,omitempty"`
}

// Bytes returns the memory that the item takes.
func (i *Item) Bytes() int64 { return int64(len(i.ID) + len(i.URI) + i.Header.Len() + len(i.Body)) }

// Result is the outcome of one item.
type Result struct {
	Item   string `cbor:"item"`
	Done   bool   `cbor:"done"` // false if the item was abandoned
	Output []byte `cbor:"output"`
	// ContinuationRows is the number of further rows that hold the rest of the output.
	ContinuationRows int `cbor:"rest,omitempty"`
}

// Progress is the partial output of an item, stored by the owner that was running it.
type Progress struct {
	LastEvent string `cbor:"lastEvent"`
	Output    []byte `cbor:"output"`
	// SoftwareVersion is that of the upstreams that have written the output.
	SoftwareVersion string `cbor:"softwareVersion,omitempty"`
}

// VersionedRecord is a Record with the version of its row.
type VersionedRecord struct {
	Record
	Version uint64
	// AsOf is when the attempt began that read or wrote the record, on the local clock. The
	// record was in the store at that time or later. It is zero if another process read it.
	AsOf time.Time
}

func recordKey(id string) rowstore.Key {
	return rowstore.Key{Table: tableJobs, Part: partNameOf(id), Name: id}
}

func numberedKey(table, id string, n int) rowstore.Key {
	return rowstore.Key{Table: table, Part: partNameOf(id), Name: fmt.Sprintf("%s/%06d", id, n)}
}

// numberedRange returns the bounds of a job's numbered rows from n on.
func numberedRange(id string, n int) (from, to string) {
	return fmt.Sprintf("%s/%06d", id, n), id + "0" // '0' is the byte after '/'
}

// numberOf returns the number in the name of a numbered row of a job. It returns false for a row of a job
// whose ID begins with that of this one and a slash.
func numberOf(id, name string) (n int, found bool) {
	text, found := strings.CutPrefix(name, id+"/")
	n, err := strconv.Atoi(text)
	return n, found && err == nil && n >= 0
}

func encodeRow(key rowstore.Key, value any) (rowstore.Put, error) {
	text, err := cbor.Marshal(value)
	if err != nil {
		return rowstore.Put{}, fmt.Errorf("encode %s: %w", key, err)
	}
	return rowstore.Put{Key: key, Value: text}, nil
}

func decodeRow(row rowstore.Row, value any) error {
	if err := lenientdecoder.Decode(row.Value, value); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, row.Key, err)
	}
	return nil
}

// decodeRecord decodes a record that was read by an attempt that began at asOf.
func decodeRecord(row rowstore.Row, asOf time.Time) (VersionedRecord, error) {
	stored := VersionedRecord{Version: row.Version, AsOf: asOf}
	err := decodeRow(row, &stored.Record)
	return stored, err
}
