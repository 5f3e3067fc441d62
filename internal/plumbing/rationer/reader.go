package rationer

import (
	"errors"
	"io"
)

// firstBytes is the size of the buffer with which a source of unknown length begins.
const firstBytes = 4 << 10

// ErrExhausted means that a budget has too little memory.
var ErrExhausted = errors.New("memory budget exhausted")

// ReadAll reads a source of a length in bytes, or of an unknown one if it is negative, to its end. It reserves
// memory before it reads, for the copies of a growing buffer too. If there is too little, it discards what the
// source still has and returns ErrExhausted: a peer that is still sending would not read its answer.
func (r *Reservation) ReadAll(source io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		if !r.Grow(length) {
			return nil, discard(source)
		}
		content := make([]byte, length)
		_, err := io.ReadFull(source, content)
		return content, err //nolint:wrapcheck // callers know what they read
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			grown := max(2*cap(content), firstBytes)
			if !r.Grow(int64(grown)) {
				return nil, discard(source)
			}
			content = append(make([]byte, 0, grown), content...)
		}
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // callers know what they read
		}
	}
}

// discard reads a source to its end and returns ErrExhausted, or why it couldn't.
func discard(source io.Reader) error {
	if _, err := io.Copy(io.Discard, source); err != nil {
		return err //nolint:wrapcheck // callers know what they read
	}
	return ErrExhausted
}
