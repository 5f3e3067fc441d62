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
	// firstChunkItems is the number of items in the first chunks of a file. Later
	// chunks grow with the number of preceding items, so that a small job is
	// distributed over many VMs and a large job doesn't need a row for every few
	// items.
	firstChunkItems = 16
	// chunkSizeDivisor divides the number of items read so far, which yields the
	// number of items of the next chunk.
	chunkSizeDivisor = 32
	// maxChunkItems is the maximum number of items in a chunk. A chunk also ends as
	// soon as it has maxChunkBytes.
	maxChunkItems = 500
	maxChunkBytes = 1 << 20
	// maxItems is the maximum number of items in a file, and maxItemBytes the
	// maximum length of a line.
	maxItems     = 240_000
	maxItemBytes = 256 << 10
)

// Item is one line of an input file: the request to an upstream.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// itemTarget holds the field of an item's body that is needed for routing.
type itemTarget struct {
	Model string `json:"model"`
}

// upload is the state of an upload in progress. The buffer has the lines of the
// next chunk, and seenIDs the hashes of all custom IDs.
type upload struct {
	keeper     *Keeper
	row        FileRow
	chunks     []FileChunk
	idHash     hash.Hash
	buffer     bytes.Buffer
	pending    int
	seenIDs    map[uint64]struct{}
	lineNumber int
}

// PutFile stores an input file chunk by chunk while it is received, and returns
// its ID. A repeated upload of the same content by the same caller has the same
// ID. The error is ErrBadInput if a line is malformed or a limit is exceeded.
func (k *Keeper) PutFile(
	ctx context.Context, caller, name string, body io.Reader, now time.Time,
) (string, FileRow, error) {
	u := &upload{
		keeper: k, idHash: sha256.New(), seenIDs: map[uint64]struct{}{},
		row: FileRow{Caller: caller, Name: name, Created: now},
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), maxItemBytes)
	for lines.Scan() {
		if err := u.addLine(ctx, lines.Bytes()); err != nil {
			return "", FileRow{}, err
		}
	}
	if err := lines.Err(); err != nil {
		return "", FileRow{}, fmt.Errorf("%w: line %d: %w", ErrBadInput, u.lineNumber+1, err)
	}
	return u.finish(ctx)
}

// addLine adds a line to the current chunk, and stores the chunk once it is full.
// Blank lines are skipped.
func (u *upload) addLine(ctx context.Context, line []byte) error {
	u.lineNumber++
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return nil
	}
	if err := u.checkItem(line); err != nil {
		return fmt.Errorf("%w: line %d: %w", ErrBadInput, u.lineNumber, err)
	}
	u.buffer.Write(line)
	u.buffer.WriteByte('\n')
	u.pending++
	u.row.Items++
	u.row.Bytes += int64(len(line)) + 1
	size := min(max(firstChunkItems, u.row.Items/chunkSizeDivisor), maxChunkItems)
	if u.pending >= size || u.buffer.Len() >= maxChunkBytes {
		return u.flush(ctx)
	}
	return nil
}

// checkItem validates a line, and sets the model and the endpoint of the file.
func (u *upload) checkItem(line []byte) error {
	var item Item
	if err := json.Unmarshal(line, &item); err != nil {
		return err
	}
	var target itemTarget
	if err := json.Unmarshal(item.Body, &target); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	id := xxhash.Sum64String(item.CustomID)
	_, repeated := u.seenIDs[id]
	u.seenIDs[id] = struct{}{}
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

// flush stores the current chunk as an object named by its digest.
func (u *upload) flush(ctx context.Context) error {
	if u.pending == 0 {
		return nil
	}
	text := bytes.Clone(u.buffer.Bytes())
	object := "input/" + digest(text)
	if err := u.keeper.store.PutObject(ctx, storekeeper.PurposeJob, object, text); err != nil {
		return wrapStoreError(err)
	}
	u.idHash.Write([]byte(object))
	u.chunks = append(u.chunks, FileChunk{Object: object, Items: u.pending})
	u.pending = 0
	u.buffer.Reset()
	return nil
}

// finish stores the last chunk, the list of chunks and the row of the file. The
// ID is a hash of the names of the chunks and the caller.
func (u *upload) finish(ctx context.Context) (string, FileRow, error) {
	if err := u.flush(ctx); err != nil {
		return "", FileRow{}, err
	}
	if u.row.Items == 0 {
		return "", FileRow{}, fmt.Errorf("%w: no items", ErrBadInput)
	}
	u.idHash.Write([]byte("\x00" + u.row.Caller))
	id := "file-" + hex.EncodeToString(u.idHash.Sum(nil))[:32]
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
		return "", FileRow{}, wrapStoreError(err)
	}
	return id, u.row, nil
}

// putChunkList stores the list of chunks as an object and sets it in the row.
func (u *upload) putChunkList(ctx context.Context) error {
	text, err := json.Marshal(u.chunks)
	if err != nil {
		return fmt.Errorf("encode list of chunks: %w", err)
	}
	u.row.Chunks, u.row.ChunkList = len(u.chunks), "chunk-list/"+digest(text)
	return wrapStoreError(u.keeper.store.PutObject(ctx, storekeeper.PurposeJob, u.row.ChunkList, text))
}

// fileChunks reads the list of a file's chunks.
func (k *Keeper) fileChunks(ctx context.Context, file FileRow) ([]FileChunk, error) {
	text, err := k.store.GetObject(ctx, storekeeper.PurposeJob, file.ChunkList)
	if err != nil {
		return nil, wrapStoreError(err)
	}
	var chunks []FileChunk
	if err := json.Unmarshal(text, &chunks); err != nil {
		return nil, fmt.Errorf("decode %s: %w", file.ChunkList, err)
	}
	return chunks, nil
}

// File returns the row of a caller's input file, or ErrNotFound.
func (k *Keeper) File(ctx context.Context, caller, id string) (FileRow, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeJob, fileKey(id))
	if err != nil {
		return FileRow{}, wrapStoreError(err)
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
