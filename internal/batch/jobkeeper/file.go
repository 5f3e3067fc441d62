package jobkeeper

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

const (
	// firstChunkItems is the size of a file's first chunks. Later ones grow with
	// what came before, so that a small job is spread over many VMs and a large
	// one doesn't have a row for every few items.
	firstChunkItems = 16
	// chunkGrowth is the share of the items before it that a chunk may have.
	chunkGrowth = 32
	// chunkItems and chunkBytes bound one chunk.
	chunkItems = 500
	chunkBytes = 1 << 20
	// maxItems bounds one file.
	maxItems     = 240_000
	maxItemBytes = 256 << 10
)

// Item is one line of an input file.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// itemTarget is the part of an item's body that routing needs.
type itemTarget struct {
	Model string `json:"model"`
}

// upload is a file on its way into the store.
type upload struct {
	keeper  *Keeper
	row     FileRow
	chunks  []FileChunk
	whole   hash.Hash
	buffer  bytes.Buffer
	pending int
	seen    map[uint64]struct{}
	line    int
}

// PutFile stores an input file, chunk by chunk as it comes in, and returns its
// identifier. The same file has the same identifier.
func (k *Keeper) PutFile(
	ctx context.Context, caller, name string, body io.Reader, now time.Time,
) (string, FileRow, error) {
	u := &upload{
		keeper: k, whole: sha256.New(), seen: map[uint64]struct{}{},
		row: FileRow{Caller: caller, Name: name, Created: now},
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), maxItemBytes)
	for lines.Scan() {
		if err := u.add(ctx, lines.Bytes()); err != nil {
			return "", FileRow{}, err
		}
	}
	if err := lines.Err(); err != nil {
		return "", FileRow{}, fmt.Errorf("%w: line %d: %w", ErrBadInput, u.line+1, err)
	}
	return u.finish(ctx)
}

func (u *upload) add(ctx context.Context, line []byte) error {
	u.line++
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return nil
	}
	if err := u.check(line); err != nil {
		return fmt.Errorf("%w: line %d: %w", ErrBadInput, u.line, err)
	}
	u.buffer.Write(line)
	u.buffer.WriteByte('\n')
	u.pending++
	u.row.Items++
	u.row.Bytes += int64(len(line)) + 1
	size := min(max(firstChunkItems, u.row.Items/chunkGrowth), chunkItems)
	if u.pending >= size || u.buffer.Len() >= chunkBytes {
		return u.flush(ctx)
	}
	return nil
}

func (u *upload) check(line []byte) error {
	var item Item
	if err := json.Unmarshal(line, &item); err != nil {
		return err
	}
	var target itemTarget
	if err := json.Unmarshal(item.Body, &target); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	id := xxhash.Sum64String(item.CustomID)
	_, repeated := u.seen[id]
	u.seen[id] = struct{}{}
	switch {
	case item.CustomID == "" || repeated:
		return errors.New("custom_id must be set and unique")
	case item.Method != http.MethodPost || item.URL == "":
		return errors.New("method must be POST and url must be set")
	case target.Model == "":
		return errors.New("body.model must be set")
	case u.row.Items > 0 && (target.Model != u.row.Model || item.URL != u.row.Endpoint):
		return errors.New("all items of a file must have the same model and url")
	case u.row.Items >= maxItems:
		return fmt.Errorf("more than %d items", maxItems)
	}
	u.row.Model, u.row.Endpoint = target.Model, item.URL
	return nil
}

func (u *upload) flush(ctx context.Context) error {
	if u.pending == 0 {
		return nil
	}
	text := bytes.Clone(u.buffer.Bytes())
	object := "input/" + digest(text)
	if err := u.keeper.store.PutObject(ctx, storekeeper.PurposeJob, object, text); err != nil {
		return translate(err)
	}
	u.whole.Write([]byte(object))
	u.chunks = append(u.chunks, FileChunk{Object: object, Items: u.pending})
	u.pending = 0
	u.buffer.Reset()
	return nil
}

func (u *upload) finish(ctx context.Context) (string, FileRow, error) {
	if err := u.flush(ctx); err != nil {
		return "", FileRow{}, err
	}
	if u.row.Items == 0 {
		return "", FileRow{}, fmt.Errorf("%w: no items", ErrBadInput)
	}
	u.whole.Write([]byte("\x00" + u.row.Caller))
	id := "file-" + hex.EncodeToString(u.whole.Sum(nil))[:32]
	if err := u.putChunkList(ctx); err != nil {
		return "", FileRow{}, err
	}
	_, err := u.keeper.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeJob, Priority: storekeeper.PriorityAcknowledge,
		Tx: rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: fileKey(id)}},
			Puts:       []rowstore.Put{rowstore.PutJSON(fileKey(id), u.row)},
		},
	})
	if err != nil && !errors.Is(err, storekeeper.ErrConflict) {
		return "", FileRow{}, translate(err)
	}
	return id, u.row, nil
}

func (u *upload) putChunkList(ctx context.Context) error {
	text, err := json.Marshal(u.chunks)
	if err != nil {
		return fmt.Errorf("encode list of chunks: %w", err)
	}
	u.row.Chunks, u.row.ChunkList = len(u.chunks), "chunk-list/"+digest(text)
	return translate(u.keeper.store.PutObject(ctx, storekeeper.PurposeJob, u.row.ChunkList, text))
}

// fileChunks returns the objects of a file.
func (k *Keeper) fileChunks(ctx context.Context, file FileRow) ([]FileChunk, error) {
	text, err := k.store.GetObject(ctx, storekeeper.PurposeJob, file.ChunkList)
	if err != nil {
		return nil, translate(err)
	}
	var chunks []FileChunk
	if err := json.Unmarshal(text, &chunks); err != nil {
		return nil, fmt.Errorf("decode %s: %w", file.ChunkList, err)
	}
	return chunks, nil
}

// File returns a caller's input file.
func (k *Keeper) File(ctx context.Context, caller, id string) (FileRow, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeJob, fileKey(id))
	if err != nil {
		return FileRow{}, translate(err)
	}
	file, err := decodeRow[FileRow](rows[0])
	if err != nil {
		return FileRow{}, err
	}
	if file.Version == 0 || file.Value.Caller != caller {
		return FileRow{}, ErrNotFound
	}
	return file.Value, nil
}
