// Package versionkeeper knows which software version of a service began a stream, so that
// the stream goes on at that version only. What two versions write doesn't fit together, and
// upstreams don't check it.
//
// A stream can be resumed at any VM, also after all VMs have restarted, and the request says
// of it only the ID of the request that began it. The store therefore has the versions that
// each service may have begun streams with, and, while there are several, the version of each
// stream:
//
//	{v1}           no records: whatever is resumed has begun at v1
//	{v1, v1.1}     a stream is recorded before its first event; one without a record is unknown
//	{v1.1}         no upstream of v1 was listed for a while, so that its streams have ended
//
// A version is added before any stream begins at it, so an unrecorded stream has
// never begun at another version than the only one.
package versionkeeper

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/repeater"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Tables of the store, and the part of TableVersions that holds all its rows.
const (
	// TableVersions has a row for each service: the versions that its streams may have.
	TableVersions = "streamVersions"
	PartVersions  = "streamVersions"
	// TableStreams has a row for each recorded stream.
	TableStreams = "streams"
	// StreamParts is the number of parts of TableStreams. A part takes a limited number of
	// writes per second, and in a release all streams of a large fleet are recorded.
	StreamParts = 16
)

const (
	// maxRecordWait is how long the first event of a stream waits for its record. A stream
	// that isn't recorded by then can't be resumed while there are several versions.
	maxRecordWait = 60 * time.Millisecond
	// recordTimeout bounds the write of a record, and lookupTimeout finding one out.
	recordTimeout = 1500 * time.Millisecond
	lookupTimeout = 600 * time.Millisecond
	// minKeepTime, and keepTimeFactor times the longest stream, is how long a version is kept
	// that no upstream has any more, and a record. A caller may resume a stream late, and more
	// than once.
	minKeepTime    = 2 * time.Minute
	keepTimeFactor = 2
)

// ErrUnknown means that it can't be told which version began a stream.
var ErrUnknown = errors.New("software version of the stream unknown")

// Stream identifies a stream that can be resumed.
type Stream struct {
	ID      string // of the request that began it
	Service string
	Version string // that began it
}

// record is the content of a row of TableStreams.
type record struct {
	Service string `cbor:"service"`
	Version string `cbor:"version"`
}

// Tasks runs tasks on goroutines of their own.
type Tasks interface {
	Go(name string, task func())
}

// Keeper knows the versions of services and streams. It is safe for concurrent use, and the
// sink of the watcher of TableVersions.
type Keeper struct {
	self   string
	store  rowstore.Store
	tasks  Tasks
	logger *slog.Logger
	writes *repeater.Repeater // of versions

	mu         sync.Mutex
	vms        []string // all live VMs, including this one
	isRead     bool     // whether stored is known
	stored     map[string]versionSet
	listings   map[string]map[string]listing // by service and version
	unrecorded map[string]Stream             // streams under way without a record
	keepTime   time.Duration                 // how long a stream may be resumed after it has begun

	// Only Run uses these.
	changedAt time.Time // since when stored and listed versions differ; zero if they don't
	retryAt   time.Time // when a failed write of them may be tried again

	sweeps sweeps // only Sweep uses it
}

// New returns the Keeper of a VM.
func New(self string, store rowstore.Store, tasks Tasks, logger *slog.Logger) *Keeper {
	return &Keeper{
		self: self, store: store, tasks: tasks, logger: logger, writes: repeater.New(), vms: []string{self},
		stored: map[string]versionSet{}, listings: map[string]map[string]listing{}, unrecorded: map[string]Stream{},
		keepTime: minKeepTime, sweeps: newSweeps(),
	}
}

// SetVMs replaces the list of live VMs, including this one.
func (k *Keeper) SetVMs(vms []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.vms = vms
}

// SetLongestStream sets the longest time that the configuration allows a stream.
func (k *Keeper) SetLongestStream(longest time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keepTime = max(keepTimeFactor*longest, minKeepTime)
}

// Versions returns the versions at which streams of a service may begin. It returns nil if
// none are known, so that there is nothing to go by.
func (k *Keeper) Versions(service string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stored[service].versions
}

// Begin must be called before the first event of a stream that can be resumed is delivered.
// While its service has several versions, it records the stream, and waits for that for a
// short time. The function that it returns must be called at the end of the stream.
func (k *Keeper) Begin(ctx context.Context, s Stream) (end func()) {
	k.mu.Lock()
	mustRecord := k.mustRecord(s)
	if !mustRecord {
		k.unrecorded[s.ID] = s
	}
	k.mu.Unlock()
	if mustRecord {
		k.recordWithin(ctx, s)
		return func() {}
	}
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.unrecorded, s.ID)
	}
}

// mustRecord returns whether a stream may have another version than the only one of its
// service. The caller must hold mu.
func (k *Keeper) mustRecord(s Stream) bool {
	versions := k.stored[s.Service].versions
	return len(versions) != 1 || versions[0] != s.Version
}

// recordWithin records a stream and waits for that for maxRecordWait.
func (k *Keeper) recordWithin(ctx context.Context, s Stream) {
	recorded := make(chan struct{})
	k.tasks.Go("record of a stream", func() {
		defer close(recorded)
		k.record(context.WithoutCancel(ctx), []Stream{s})
	})
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
		k.logger.Info("stream begins without a record", "id", s.ID, "software", s.Version)
	case <-ctx.Done():
	}
}

// record writes the records of some streams.
func (k *Keeper) record(ctx context.Context, streams []Stream) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	puts := map[string][]rowstore.Put{}
	for _, s := range streams {
		key := keyOf(s.ID)
		value, err := cbor.Marshal(record{Service: s.Service, Version: s.Version})
		if err != nil {
			k.logger.Error("encode record of a stream", "error", err)
			continue
		}
		puts[key.Part] = append(puts[key.Part], rowstore.Put{Key: key, Value: value})
	}
	for _, all := range puts {
		for some := range slices.Chunk(all, rowstore.MaxEntries) {
			if _, err := k.store.Transact(ctx, rowstore.Tx{Puts: some}); err != nil {
				k.logger.Info("recording streams failed", "streams", len(some), "error", err)
			}
		}
	}
}

// keyOf returns the key of the record of a stream. Its name is a hash, as callers choose IDs,
// which may be longer than a name of a row.
func keyOf(id string) rowstore.Key {
	hash := sha256.Sum256([]byte(id))
	return rowstore.Key{Table: TableStreams, Part: partName(int(hash[0]) % StreamParts), Name: hex.EncodeToString(hash[:keyBytes])}
}

// keyBytes is how much of a hash identifies a stream.
const keyBytes = 16

func partName(n int) string { return fmt.Sprint("streams", n) }

// VersionOf returns the version of the service that began a stream, given the ID of the
// request that began it. It returns ErrUnknown if that can't be told.
func (k *Keeper) VersionOf(ctx context.Context, service, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	recorded, err := k.readRecord(ctx, id)
	if err != nil {
		return "", err
	}
	if recorded.Service == service {
		return recorded.Version, nil
	}
	versions, err := k.readVersions(ctx, service)
	if err != nil {
		return "", err
	}
	if len(versions) != 1 {
		return "", fmt.Errorf("%w: no record", ErrUnknown)
	}
	return versions[0], nil
}

// readVersions reads the versions of a service from the store.
func (k *Keeper) readVersions(ctx context.Context, service string) ([]string, error) {
	row, err := k.readRow(ctx, versionsKey(service))
	if err != nil {
		return nil, err
	}
	set, err := decodeVersions(row)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return set.versions, nil
}

// readRecord reads the record of a stream. It returns a zero record if there is none.
func (k *Keeper) readRecord(ctx context.Context, id string) (record, error) {
	var r record
	row, err := k.readRow(ctx, keyOf(id))
	if err != nil || row.Version == 0 {
		return r, err
	}
	if err := lenientdecoder.Decode(row.Value, &r); err != nil {
		return r, fmt.Errorf("%w: malformed record: %w", ErrUnknown, err)
	}
	return r, nil
}

// readRow reads one row. Its version is 0 if it doesn't exist.
func (k *Keeper) readRow(ctx context.Context, key rowstore.Key) (rowstore.Row, error) {
	page, _, err := k.store.Range(ctx, key.Table, key.Part, key.Name, key.Name+"\x00")
	if err != nil {
		return rowstore.Row{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if len(page.Rows) == 0 {
		return rowstore.Row{Key: key}, nil
	}
	return page.Rows[0], nil
}
