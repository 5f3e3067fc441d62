package tablesharer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// defaultMaxBytes bounds an answer, and its rows once they are decompressed: what an answer of the store can
// have. A VM reads one answer at a time.
const defaultMaxBytes = 9 << 20

// errTooLong means that an answer or its rows exceed the bound.
var errTooLong = errors.New("answer too long")

// answer is what a VM answers to another one.
type answer struct {
	// Fleet is the identity of the sender's fleet.
	Fleet uint64 `cbor:"fleet"`
	// Version is a store version that the sender's content is at least as new as, and Digest
	// identifies its rows.
	Version uint64 `cbor:"version"`
	Digest  uint64 `cbor:"digest"`
	// Age is how long ago the sender last heard from the store.
	Age time.Duration `cbor:"age"`
	// ConfirmedAge is how long ago the sender's content was surely the newest; 0 if that isn't known, or
	// if the sender is of an earlier release.
	ConfirmedAge time.Duration `cbor:"confirmedAge,omitempty"`
	// Rows has all rows of the table, encoded and compressed, if they are newer than those
	// of the VM that asks.
	Rows []byte `cbor:"rows,omitempty"`
}

// sharedRow is one row of an answer.
type sharedRow struct {
	Name    string `cbor:"name"`
	Value   []byte `cbor:"value"`
	Version uint64 `cbor:"version"`
}

// encodeRows returns all rows of a content, encoded and compressed.
func encodeRows(c *content) ([]byte, error) {
	rows := make([]sharedRow, 0, len(c.rows))
	for _, row := range c.sorted() {
		rows = append(rows, sharedRow{Name: row.Name, Value: row.Value, Version: row.Version})
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress rows: %w", err)
	}
	if err := errors.Join(cbor.NewEncoder(writer).Encode(rows), writer.Close()); err != nil {
		return nil, fmt.Errorf("encode rows: %w", err)
	}
	return compressed.Bytes(), nil
}

// decodeRows returns the content that an answer with rows has.
func (s *Sharer) decodeRows(a answer) (*content, error) {
	encoded, err := s.readBounded(flate.NewReader(bytes.NewReader(a.Rows)))
	if err != nil {
		return nil, fmt.Errorf("decompress rows: %w", err)
	}
	var rows []sharedRow
	if err := lenientdecoder.Decode(encoded, &rows); err != nil {
		return nil, fmt.Errorf("decode rows: %w", err)
	}
	byName := make(map[string]rowstore.Row, len(rows))
	for _, row := range rows {
		key := rowstore.Key{Table: s.table, Part: s.part, Name: row.Name}
		byName[row.Name] = rowstore.Row{Key: key, Value: row.Value, Version: row.Version}
	}
	return newContent(byName, a.Version), nil
}

// readBounded reads everything. It returns errTooLong if that is more than the bound.
func (s *Sharer) readBounded(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, s.maxBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read: %w", err)
	case int64(len(data)) > s.maxBytes:
		return nil, errTooLong
	default:
		return data, nil
	}
}
