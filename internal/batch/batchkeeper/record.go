// Package batchkeeper keeps batch jobs in the platform's store: what was
// submitted, who runs it, and its results.
//
// A transaction covers one part of the store only, and a part takes a limited
// number of them. So the rows of a job lie in one part, and the jobs are spread
// over several by a hash of their identifiers:
//
//	jobs          ID             the Record: owner, counts, deadlines
//	jobContent    ID/chunk       the items, encoded and cut into rows
//	jobResults    ID/position    one result each, never changed
//	jobResultRest ID/position/n  what a long result's first row doesn't hold
//	jobProgress   ID/item        what an owner that left had of an item
//
// A part of its own has jobAdmission, a row a route that serializes admission
// under a quota.
//
// A job is accepted by the transaction that writes its Record. From then on only
// its owner writes to it, always under the condition that the Record has the
// version that the owner knows; who takes a job over changes the Record first.
// An owner that was paused, or cut off, therefore can't add a result to a job
// that somebody else runs. An owner renews its Record all the time; one that
// stays unchanged tells that its owner is lost.
package batchkeeper

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Errors of this layer.
var (
	// ErrNotFound means that there is no such job, or no such item in it.
	ErrNotFound = errors.New("no such job")
	// ErrOverQuota means that the job's tokens don't fit on its route now.
	ErrOverQuota = errors.New("too many tokens wait")
	// ErrNotWritten means that nothing was written.
	ErrNotWritten = errors.New("not written")
	// ErrInDoubt means that the write may have taken effect, or may still do so.
	ErrInDoubt = errors.New("write in doubt")
	// ErrOwnershipLost means that another VM runs the job now, or that it was cancelled.
	ErrOwnershipLost = errors.New("job is no longer this VM's")
	// ErrNotRead means that the store could not be read.
	ErrNotRead = errors.New("not read")
	// ErrDamaged means that a row can't be decoded.
	ErrDamaged = errors.New("row not understood")
)

const (
	tableJobs      = "jobs"
	tableContent   = "jobContent"
	tableResults   = "jobResults"
	tableRest      = "jobResultRest"
	tableProgress  = "jobProgress"
	tableAdmission = "jobAdmission"
	admissionPart  = "jobAdmission"
)

// Parts is the number of parts that jobs are spread over.
const Parts = 16

// PartOf returns the number of the part that a job lies in.
func PartOf(id string) int { return int(xxhash.Sum64String(id) % Parts) }

func partName(n int) string { return fmt.Sprintf("jobs-%02d", n) }

func partOf(id string) string { return partName(PartOf(id)) }

// Owner is the process that runs a job.
type Owner struct {
	VM   string `cbor:"vm"`
	Boot uint64 `cbor:"boot"`
}

// Record is what is kept of a job beside its content and results.
type Record struct {
	ID    string `cbor:"id"`
	Route string `cbor:"route"`
	Host  string `cbor:"host"`
	Owner Owner  `cbor:"owner"`
	Items int    `cbor:"items"`
	// Results is the number of positions that have a result.
	Results int `cbor:"results"`
	// Tokens is the sum of the items without a result.
	Tokens int64 `cbor:"tokens"`
	// Due and Expires are moments of the store's clock: when all results are due,
	// and when an item may be given up.
	Due       time.Duration `cbor:"due"`
	Expires   time.Duration `cbor:"expires"`
	Cancelled bool          `cbor:"cancelled"`
	// Writes counts the owner's writes, so that it can tell whether one whose
	// answer was lost has taken effect.
	Writes uint64 `cbor:"writes"`
	// FailureCounts are the runs of items that failed, by the item's index.
	FailureCounts map[int]FailureCounts `cbor:"trials"`
}

// Open tells whether items of the job may still run.
func (r *Record) Open() bool { return !r.Cancelled && r.Results < r.Items }

// FailureCounts counts the runs of one item that failed.
type FailureCounts struct {
	// Failures are runs that the upstream answered with an error.
	Failures int `cbor:"failures"`
	// Crashes are runs that ended with their upstream.
	Crashes int `cbor:"crashes"`
}

// Item is one request of a job.
type Item struct {
	ID     string      `cbor:"id"`
	URI    string      `cbor:"uri"`
	Header http.Header `cbor:"header"`
	Body   []byte      `cbor:"body"`
	Tokens int64       `cbor:"tokens"`
}

// Result is the outcome of one item.
type Result struct {
	Item   string `cbor:"item"`
	Done   bool   `cbor:"done"` // false: given up
	Output []byte `cbor:"output"`
	// Rest is the number of further rows that the output goes on in.
	Rest int `cbor:"rest,omitempty"`
}

// Progress is what an owner that leaves had of an item that it was running.
type Progress struct {
	LastEvent string `cbor:"lastEvent"`
	Output    []byte `cbor:"output"`
}

// VersionedRecord is a Record with the version of its row.
type VersionedRecord struct {
	Record
	Version uint64
}

func recordKey(id string) rowstore.Key {
	return rowstore.Key{Table: tableJobs, Part: partOf(id), Name: id}
}

func numberedKey(table, id string, n int) rowstore.Key {
	return rowstore.Key{Table: table, Part: partOf(id), Name: fmt.Sprintf("%s/%06d", id, n)}
}

// numberedRange returns the bounds of a job's numbered rows from n on.
func numberedRange(id string, n int) (from, to string) {
	return fmt.Sprintf("%s/%06d", id, n), id + "0" // '0' follows '/'
}

func put(key rowstore.Key, value any) (rowstore.Put, error) {
	text, err := cbor.Marshal(value)
	if err != nil {
		return rowstore.Put{}, fmt.Errorf("encode %s: %w", key, err)
	}
	return rowstore.Put{Key: key, Value: text}, nil
}

func decode(row rowstore.Row, value any) error {
	if err := cbor.Unmarshal(row.Value, value); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDamaged, row.Key, err)
	}
	return nil
}

func decodeRecord(row rowstore.Row) (VersionedRecord, error) {
	stored := VersionedRecord{Version: row.Version}
	err := decode(row, &stored.Record)
	return stored, err
}
