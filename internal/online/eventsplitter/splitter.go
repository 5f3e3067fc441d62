// Package eventsplitter splits a stream of server-sent events into complete events, so
// that another upstream can continue an answer after the last complete one.
package eventsplitter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

var (
	// ErrTooLong means that an event exceeds MaxEventBytes.
	ErrTooLong = errors.New("event too long")
	// ErrNoMemory means that the memory budget has no space for a long event.
	ErrNoMemory = errors.New("no memory for a long event")
)

const (
	// MaxEventBytes bounds the size of one event.
	MaxEventBytes = 1 << 20
	// unreservedBytes is how much of an event is read without a reservation of memory.
	unreservedBytes = 16 << 10
)

// Event is one complete server-sent event.
type Event struct {
	raw     []byte
	id      string
	hasData bool
}

// Raw returns the event's bytes, including the blank line that ends it. They are valid
// until the next event is read.
func (e Event) Raw() []byte { return e.raw }

// ID returns the value of the event's id field, or "".
func (e Event) ID() string { return e.id }

// HasData returns whether the event has a data field. A comment has none.
func (e Event) HasData() bool { return e.hasData }

// AppendData appends the values of the event's data fields to a buffer, separated by
// line feeds.
func (e Event) AppendData(to []byte) []byte {
	first := true
	for line := range bytes.Lines(e.raw) {
		value, found := field(line, "data")
		if !found {
			continue
		}
		if !first {
			to = append(to, '\n')
		}
		to = append(to, value...)
		first = false
	}
	return to
}

// Splitter reads server-sent events from a stream.
type Splitter struct {
	reader      *bufio.Reader
	buffer      []byte
	data        []byte
	reservation *rationer.Reservation // of memory for a long event; nil if there is no budget
}

// Option configures a Splitter.
type Option func(*Splitter)

// WithMemory sets the budget from which memory for long events is reserved. Close must be called then.
func WithMemory(budget *rationer.Rationer) Option {
	return func(s *Splitter) { s.reservation = budget.NewReservation() }
}

// New returns a splitter that reads from r.
func New(r io.Reader, options ...Option) *Splitter {
	s := &Splitter{reader: bufio.NewReader(r)}
	for _, option := range options {
		option(s)
	}
	return s
}

// Close returns the memory for a long event to the budget.
func (s *Splitter) Close() { s.discard() }

// discard discards the event in the buffer, and the buffer too if it is a long one.
func (s *Splitter) discard() {
	s.buffer = s.buffer[:0]
	if cap(s.buffer) > unreservedBytes {
		s.buffer = nil
		s.reservation.Release()
	}
}

// append adds bytes to the buffer. It returns an error if the event gets too long, or if there is no memory
// for it.
func (s *Splitter) append(part []byte) error {
	size := len(s.buffer) + len(part)
	if size > MaxEventBytes {
		return ErrTooLong
	}
	if size > cap(s.buffer) {
		grown := max(2*cap(s.buffer), size)
		if grown > unreservedBytes && s.reservation != nil && !s.reservation.Grow(int64(grown)) {
			return ErrNoMemory
		}
		s.buffer = append(make([]byte, 0, grown), s.buffer...)
	}
	s.buffer = append(s.buffer, part...)
	return nil
}

// Next returns the next complete event. It returns io.EOF if the stream ends between
// events, io.ErrUnexpectedEOF if it ends within one, ErrTooLong if an event
// exceeds MaxEventBytes, and ErrNoMemory if there is no memory for a long one.
func (s *Splitter) Next() (Event, error) {
	s.discard()
	line := 0 // start of the current line
	for {
		part, err := s.reader.ReadSlice('\n')
		if err := s.append(part); err != nil {
			return Event{}, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(s.buffer) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return Event{}, io.EOF
		case err != nil:
			return Event{}, fmt.Errorf("read event: %w", err)
		case len(bytes.TrimRight(s.buffer[line:], "\r\n")) == 0:
			return s.event(), nil
		}
		line = len(s.buffer)
	}
}

// NextData returns the data of the next event that has any. It is valid until the next
// call. Errors are those of Next.
func (s *Splitter) NextData() ([]byte, error) {
	for {
		event, err := s.Next()
		if err != nil {
			return nil, err
		}
		s.data = event.AppendData(s.data[:0])
		if len(s.data) > 0 {
			return s.data, nil
		}
	}
}

// event returns the event in the buffer.
func (s *Splitter) event() Event {
	e := Event{raw: s.buffer}
	for line := range bytes.Lines(s.buffer) {
		if value, found := field(line, "id"); found {
			e.id = string(value)
		}
		if _, found := field(line, "data"); found {
			e.hasData = true
		}
	}
	return e
}

// field returns the value of a line if it belongs to the named field.
func field(line []byte, name string) ([]byte, bool) {
	value, found := bytes.CutPrefix(line, []byte(name+":"))
	if !found {
		return nil, false
	}
	value = bytes.TrimRight(value, "\r\n")
	return bytes.TrimPrefix(value, []byte(" ")), true
}
