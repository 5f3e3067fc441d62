// Package eventreader decides what an event of an answer is, and which end of an answer is a whole one. All readers of such
// answers ask it.
//
// The users' pages: a stream is "a series of events with increasing ids", a server that is asked to go on after event n
// "resumes at n + 1", "a stream that ends inside an event has been broken off", and a server in trouble may "send bytes that are
// not a response". So the id of an event is a number, and greater than that of the event before it, also if that one came
// from another upstream. Between events there may be what the media type allows there, which is in UTF-8:
//
//	: still here          a comment
//
//	retry: 3000           a field that is for the client, and no event without data
//
// Anything else breaks the answer off:
//
//	id: \x8e\xa7          no number; as a text it would go into rows and into the head of the next request
//	data: a
//
//	id: 1                 after event 5: another run than the one that is read
//	data: a
//
//	\x8e\x11\xa7\xe0      bytes that are no response
//
// An answer is whole if it ends between events and has at least one. One that goes on after the last event has nothing
// left to send, so an answer that goes on may also be empty: without comments, which only keep open what is still to come.
package eventreader

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
)

// maxQuotedChars bounds what an error quotes of an event.
const maxQuotedChars = 80

var (
	// ErrInvalid means that an upstream has sent bytes that are no event. The answer has been broken off before them.
	ErrInvalid = errors.New("invalid event")
	// ErrNoEvents means that an answer has ended without any event.
	ErrNoEvents = errors.New("answer ended without events")
)

// ParseNumber returns the number that the id of an event is. It returns false for an id that is none.
func ParseNumber(id string) (number uint64, valid bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

// Reader reads the events of one answer. It isn't safe for concurrent use.
type Reader struct {
	splitter *eventsplitter.Splitter
	last     uint64 // number of the last event, if hasLast
	lastID   string // the same in digits alone
	hasLast  bool
	isEmpty  bool // nothing has arrived yet, not even a comment
	hasEvent bool // of this answer
}

// New returns a reader of an answer that goes on after the event with an id; "" for an answer from the start. An id that isn't
// a number says nothing of the events to come. Options are those of the splitter. Close must be called.
func New(answer io.Reader, after string, options ...eventsplitter.Option) *Reader {
	r := &Reader{splitter: eventsplitter.New(answer, options...), isEmpty: true}
	if number, valid := ParseNumber(after); valid {
		r.setLast(number, after)
	}
	return r
}

// Close returns the memory for a long event.
func (r *Reader) Close() { r.splitter.Close() }

// LastEvent returns the id of the last event, which is a number in digits alone and without zeros in front; "" if there was none.
func (r *Reader) LastEvent() string { return r.lastID }

// setLast sets the last event. Its id is written anew only if zeros are in front of it, of which there may be any number.
func (r *Reader) setLast(number uint64, id string) {
	if id[0] == '0' {
		id = strconv.FormatUint(number, 10)
	}
	r.last, r.lastID, r.hasLast = number, id, true
}

// Next returns the next event, or a comment, which has no data. It returns io.EOF at the end of a whole answer, ErrInvalid,
// ErrNoEvents, or another error of the splitter.
func (r *Reader) Next() (eventsplitter.Event, error) {
	event, err := r.splitter.Next()
	if errors.Is(err, io.EOF) {
		return event, r.endError()
	}
	if err != nil {
		return event, err //nolint:wrapcheck // callers know the splitter's errors
	}
	r.isEmpty = false
	if err := r.check(event); err != nil {
		return eventsplitter.Event{}, err
	}
	return event, nil
}

// endError returns io.EOF at an end that is a whole one, and otherwise ErrNoEvents.
func (r *Reader) endError() error {
	hadNothingLeft := r.isEmpty && r.hasLast
	if r.hasEvent || hadNothingLeft {
		return io.EOF
	}
	return ErrNoEvents
}

// check returns ErrInvalid for bytes that are neither an event nor allowed between events.
func (r *Reader) check(event eventsplitter.Event) error {
	if !utf8.Valid(event.Raw()) {
		return fmt.Errorf("%w: no UTF-8: %.*q", ErrInvalid, maxQuotedChars, event.Raw())
	}
	if !event.HasData() {
		return checkWithoutData(event.Raw())
	}
	number, valid := ParseNumber(event.ID())
	if !valid || r.hasLast && number <= r.last {
		return fmt.Errorf("%w: id %.*q after %q", ErrInvalid, maxQuotedChars, event.ID(), r.LastEvent())
	}
	r.setLast(number, event.ID())
	r.hasEvent = true
	return nil
}

// checkWithoutData returns ErrInvalid for a line of a part without data that is neither empty, nor a comment, nor a field that is
// for the client. The id and the other fields belong to an event.
func checkWithoutData(part []byte) error {
	for line := range bytes.Lines(part) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "event" && string(name) != "retry" {
			return fmt.Errorf("%w: line %.*q without data", ErrInvalid, maxQuotedChars, line)
		}
	}
	return nil
}
