// Package configkeeper keeps the fleet's configuration and its audit trail in
// the platform's store.
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

// Errors of this layer.
var (
	// ErrStale means that the change was made from another version than the
	// one in force.
	ErrStale = errors.New("configuration has changed since")
	// ErrWrongDigest means that the document isn't the one that was signed.
	ErrWrongDigest = errors.New("document doesn't have the signed digest")
	// ErrStore means that the store can't be reached.
	ErrStore = errors.New("store unavailable")
	// ErrInDoubt means that the change may have taken effect.
	ErrInDoubt = errors.New("change in doubt; look at the history before trying again")
	// ErrNotFound means that there is no such version.
	ErrNotFound = errors.New("no such version")
)

const (
	headTable  = "config"
	auditTable = "audit"
	// part holds the newest version and the audit trail, which change together.
	part         = "config"
	historyLimit = 100
)

// Head is the newest accepted version.
type Head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Entry is one line of the audit trail.
type Entry struct {
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	Previous string    `json:"previous"`
	By       string    `json:"by"`
	Why      string    `json:"why"`
	At       time.Time `json:"at"`
}

// Change is an operator's change of the configuration.
type Change struct {
	// From is the version that the change was made from; 0 for the first.
	From     uint64
	Digest   string
	Document deployer.Document
	By       string
	Why      string
	At       time.Time
}

// Store is the store as this package needs it.
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

// New returns a keeper.
func New(store Store) *Keeper { return &Keeper{store: store} }

func headKey() rowstore.Key { return rowstore.Key{Table: headTable, Part: part, Name: "head"} }

func auditKey(version uint64) rowstore.Key {
	return rowstore.Key{Table: auditTable, Part: part, Name: fmt.Sprintf("%012d", version)}
}

// textKey names the object that has the text with a digest.
func textKey(digest string) string { return "config/" + digest }

// Head returns the newest accepted version, or version 0 if there is none.
func (k *Keeper) Head(ctx context.Context) (Head, error) {
	head, _, err := k.head(ctx)
	return head, err
}

func (k *Keeper) head(ctx context.Context) (Head, uint64, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeConfig, headKey())
	if err != nil {
		return Head{}, 0, translate(err)
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

// Text returns the text with a digest.
func (k *Keeper) Text(ctx context.Context, digest string) ([]byte, error) {
	text, err := k.store.GetObject(ctx, storekeeper.PurposeConfig, textKey(digest))
	return text, translate(err)
}

// Apply makes a document the newest version, if it is the signed one and the
// version it was made from is still the newest. The audit trail is written in
// the same transaction. Applying the version in force again changes nothing,
// so a lost answer can be followed by another try.
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
		return Entry{}, translate(err)
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
	return entry, translate(err)
}

// Entry returns the audit entry of a version.
func (k *Keeper) Entry(ctx context.Context, version uint64) (Entry, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeConfig, auditKey(version))
	if err != nil {
		return Entry{}, translate(err)
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

// History returns the audit trail after a version, oldest first.
func (k *Keeper) History(ctx context.Context, after uint64) ([]Entry, error) {
	span := storekeeper.Span{Table: auditTable, Part: part, From: storekeeper.NextName(auditKey(after).Name)}
	rows, _, err := k.store.Scan(ctx, storekeeper.PurposeConfig, span)
	if err != nil {
		return nil, translate(err)
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
