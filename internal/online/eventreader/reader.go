// Package eventreader reads a stream of server-sent events.
package eventreader

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTooLong means that one event is longer than the limit.
var ErrTooLong = errors.New("event too long")

// MaxEventBytes bounds one line of a stream.
const MaxEventBytes = 1 << 20

const bufferBytes = 4 << 10

// Reader reads the data of one event at a time.
type Reader struct {
	lines *bufio.Reader
	data  []byte
}

// New returns a reader of a stream.
func New(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the data of the next event, or io.EOF at the end of the stream.
// The data is valid until the next call. An event that the end of the stream
// cuts off is io.ErrUnexpectedEOF.
func (r *Reader) Next() ([]byte, error) {
	r.data = r.data[:0]
	started := false
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && started {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if started {
				return r.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue // comments and fields that completions don't use
		}
		if started {
			r.data = append(r.data, '\n')
		}
		started = true
		r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(r.data) > MaxEventBytes {
			return nil, ErrTooLong
		}
	}
}

// line returns the next line without its end. A line that the end of the
// stream cuts off is io.ErrUnexpectedEOF.
func (r *Reader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if errors.Is(err, io.EOF) {
		if len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, io.EOF
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return r.longLine(bytes.Clone(line))
}

func (r *Reader) longLine(line []byte) ([]byte, error) {
	for {
		more, err := r.lines.ReadSlice('\n')
		line = append(line, more...)
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case len(line) > MaxEventBytes:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("read event: %w", err)
		}
	}
}
