// Package configkeeper stores the fleet's configuration and its audit trail in the
// platform's store.
package configkeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// Errors returned by Keeper.
var (
	// ErrStale means that the change was based on a version that is not in force.
	ErrStale = errors.New("configuration has changed since")
	// ErrWrongDigest means that the document is not the signed one.
	ErrWrongDigest = errors.New("document doesn't have the signed digest")
	// ErrStore means that a call to the store failed.
	ErrStore = errors.New("store unavailable")
	// ErrInDoubt means that the change may have taken effect.
	ErrInDoubt = errors.New("change in doubt; look at the history before trying again")
	// ErrNotFound means that the version or text does not exist.
	ErrNotFound = errors.New("no such version")
)

const (
	headTable  = "config"
	auditTable = "audit"
	// part is the part of the store that holds the newest version and the audit trail.
	// They share it because one transaction writes them together.
	part         = "config"
	historyLimit = 100
)

// Head is the newest accepted version.
type Head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Entry is one entry of the audit trail.
type Entry struct {
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	Previous string    `json:"previous"`
	By       string    `json:"by"`
	Why      string    `json:"why"`
	At       time.Time `json:"at"`
}

// Change is an operator's change to the configuration.
type Change struct {
	// From is the version that the change is based on; 0 for the first.
	From     uint64
	Digest   string
	Document deployer.Document
	By       string
	Why      string
	At       time.Time
}

// Store reads and writes rows and objects of the platform's store.
type Store interface {
	Transact(context.Context, storekeeper.Write) (uint64, error)
	Read(context.Context, storekeeper.Purpose, ...rowstore.Key) ([]rowstore.Row, error)
	Scan(context.Context, storekeeper.Purpose, storekeeper.Span) (rows []rowstore.Row, next string, err error)
	PutObject(context.Context, storekeeper.Purpose, string, []byte) error
	GetObject(context.Context, storekeeper.Purpose, string) ([]byte, error)
}

// Keeper reads and writes the configuration.
type Keeper struct {
	store Store
}

// New returns a Keeper that uses the store.
func New(store Store) *Keeper { return &Keeper{store: store} }

func headKey() rowstore.Key { return rowstore.Key{Table: headTable, Part: part, Name: "head"} }

func auditKey(version uint64) rowstore.Key {
	return rowstore.Key{Table: auditTable, Part: part, Name: fmt.Sprintf("%012d", version)}
}

// textKey returns the name of the object that holds the text with a digest.
func textKey(digest string) string { return "config/" + digest }

// Head returns the newest accepted version, or version 0 if there is none.
func (k *Keeper) Head(ctx context.Context) (Head, error) {
	head, _, err := k.head(ctx)
	return head, err
}

func (k *Keeper) head(ctx context.Context) (Head, uint64, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeConfig, headKey())
	if err != nil {
		return Head{}, 0, wrapStoreError(err)
	}
	if rows[0].Version == 0 {
		return Head{}, 0, nil
	}
	var head Head
	if err := json.Unmarshal(rows[0].Value, &head); err != nil {
		return Head{}, 0, fmt.Errorf("decode head: %w", err)
	}
	return head, rows[0].Version, nil
}

// Text returns the configuration text with a digest, or ErrNotFound.
func (k *Keeper) Text(ctx context.Context, digest string) ([]byte, error) {
	text, err := k.store.GetObject(ctx, storekeeper.PurposeConfig, textKey(digest))
	return text, wrapStoreError(err)
}

// Apply makes a document the newest version, provided that it has the signed digest
// and that the version it is based on is still the newest. The audit entry is written
// in the same transaction. Apply is idempotent for the newest version, so a caller
// whose response was lost can retry. It returns ErrWrongDigest, ErrStale, ErrInDoubt or
// ErrStore.
func (k *Keeper) Apply(ctx context.Context, change Change) (Entry, error) {
	text, err := change.Document.Print()
	if err != nil {
		return Entry{}, fmt.Errorf("apply: %w", err)
	}
	digest, err := change.Document.Digest()
	if err != nil {
		return Entry{}, fmt.Errorf("apply: %w", err)
	}
	if digest != change.Digest {
		return Entry{}, fmt.Errorf("%w: document %s, signed %s", ErrWrongDigest, digest, change.Digest)
	}
	head, version, err := k.head(ctx)
	if err != nil {
		return Entry{}, err
	}
	if head.Version == change.From+1 && head.Digest == digest {
		return k.Entry(ctx, head.Version)
	}
	if head.Version != change.From {
		return Entry{}, fmt.Errorf("%w: made from version %d, but %d is in force", ErrStale, change.From, head.Version)
	}
	if err := k.store.PutObject(ctx, storekeeper.PurposeConfig, textKey(digest), text); err != nil {
		return Entry{}, wrapStoreError(err)
	}
	return k.write(ctx, change, head, version)
}

func (k *Keeper) write(ctx context.Context, change Change, head Head, headVersion uint64) (Entry, error) {
	entry := Entry{
		Version: head.Version + 1, Digest: change.Digest, Previous: head.Digest,
		By: change.By, Why: change.Why, At: change.At.UTC(),
	}
	next := Head{Version: entry.Version, Digest: entry.Digest}
	_, err := k.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeConfig, Priority: storekeeper.PriorityAcknowledge,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: headKey(), Version: headVersion}, {Key: auditKey(entry.Version)}},
			Puts:       []rowstore.Put{rowstore.PutJSON(headKey(), next), rowstore.PutJSON(auditKey(entry.Version), entry)},
		},
	})
	if errors.Is(err, storekeeper.ErrConflict) {
		return Entry{}, fmt.Errorf("%w: another change was faster", ErrStale)
	}
	return entry, wrapStoreError(err)
}

// Entry returns the audit entry of a version.
func (k *Keeper) Entry(ctx context.Context, version uint64) (Entry, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeConfig, auditKey(version))
	if err != nil {
		return Entry{}, wrapStoreError(err)
	}
	if rows[0].Version == 0 {
		return Entry{}, ErrNotFound
	}
	var entry Entry
	if err := json.Unmarshal(rows[0].Value, &entry); err != nil {
		return Entry{}, fmt.Errorf("decode audit entry: %w", err)
	}
	return entry, nil
}

// History returns the audit entries after a version, oldest first, at most
// historyLimit of them.
func (k *Keeper) History(ctx context.Context, after uint64) ([]Entry, error) {
	span := storekeeper.Span{Table: auditTable, Part: part, From: storekeeper.NextName(auditKey(after).Name)}
	rows, _, err := k.store.Scan(ctx, storekeeper.PurposeConfig, span)
	if err != nil {
		return nil, wrapStoreError(err)
	}
	rows = rows[:min(len(rows), historyLimit)]
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		var entry Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, fmt.Errorf("decode audit entry: %w", err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func wrapStoreError(err error) error {
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
