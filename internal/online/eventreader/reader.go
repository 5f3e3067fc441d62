// Package eventreader decides what an event of an answer is. All readers of such answers ask it.
//
// The users' page: a stream is "a series of events with increasing ids (text/event-stream)", and "given
// Last-Event-Id n, any server resumes at n + 1". So the id of an event is a number, and greater than that of the event before
// it, also if that one came from another upstream. An upstream in trouble sends bytes that are no such events:
//
//	id: \x8e\xa7          no number; as a text it would go into rows and into the head of the next request
//	data: a
//
//	id: 1                 after event 5: another run than the one that is read
//	data: a
package eventreader

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
)

// maxQuotedChars bounds what an error quotes of an event.
const maxQuotedChars = 80

// ErrInvalid means that an upstream has sent bytes that are no event. The answer has been broken off before them.
var ErrInvalid = errors.New("invalid event")

// ParseNumber returns the number that the id of an event is. It returns false for an id that is none.
func ParseNumber(id string) (number uint64, valid bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

// Reader reads the events of one answer. It isn't safe for concurrent use.
type Reader struct {
	splitter *eventsplitter.Splitter
	last     uint64 // number of the last event, if hasLast
	hasLast  bool
}

// New returns a reader of an answer that goes on after the event with an id; "" for an answer from the start. An id that isn't
// a number says nothing of the events to come. Options are those of the splitter. Close must be called.
func New(answer io.Reader, after string, options ...eventsplitter.Option) *Reader {
	r := &Reader{splitter: eventsplitter.New(answer, options...)}
	r.last, r.hasLast = ParseNumber(after)
	return r
}

// Close returns the memory for a long event.
func (r *Reader) Close() { r.splitter.Close() }

// LastEvent returns the id of the last event, which is a number in digits alone; "" if there was none.
func (r *Reader) LastEvent() string {
	if !r.hasLast {
		return ""
	}
	return strconv.FormatUint(r.last, 10)
}

// Next returns the next event, or a comment, which has no data. Errors are ErrInvalid and those of eventsplitter.
func (r *Reader) Next() (eventsplitter.Event, error) {
	event, err := r.splitter.Next()
	if err != nil || !event.HasData() {
		return event, err //nolint:wrapcheck // callers know the splitter's errors
	}
	number, valid := ParseNumber(event.ID())
	if !valid || r.hasLast && number <= r.last {
		return eventsplitter.Event{}, fmt.Errorf("%w: id %.*q after %q", ErrInvalid, maxQuotedChars, event.ID(), r.LastEvent())
	}
	r.last, r.hasLast = number, true
	return event, nil
}
