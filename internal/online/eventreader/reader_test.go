package eventreader_test

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/eventreader"
	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
)

// expectEvents reads an answer that goes on after an event, and checks the data of its events, each of which must have a
// number that is greater than the one before, and the error at its end.
func expectEvents(t *testing.T, after, answer string, wantErr error, want ...string) {
	t.Helper()
	events := eventreader.New(strings.NewReader(answer), after)
	defer events.Close()
	var got []string
	for {
		event, err := events.Next()
		if err != nil {
			qt.Check(t, err, qt.ErrorIs, wantErr, qt.Commentf("%q", answer))
			break
		}
		if event.HasData() {
			got = append(got, events.LastEvent()+"="+string(event.AppendData(nil)))
		}
	}
	qt.Check(t, got, qt.DeepEquals, want, qt.Commentf("%q", answer))
}

// Guards against: bytes of an upstream in trouble go as the id of an event into rows, messages and the next request's head.
func TestIDsAreIncreasingNumbers(t *testing.T) {
	const sound = "id: 1\ndata: a\n\n"
	t.Run("numbers", func(t *testing.T) {
		expectEvents(t, "", sound+"id: 2\ndata: b\n\n", io.EOF, "1=a", "2=b")
		expectEvents(t, "", "id: 0\ndata: a\n\nid: 9\ndata: b\n\n", io.EOF, "0=a", "9=b")
		expectEvents(t, "", "id: 18446744073709551615\ndata: a\n\n", io.EOF, "18446744073709551615=a")
	})
	t.Run("with zeros in front", func(t *testing.T) {
		expectEvents(t, "", "id: "+strings.Repeat("0", 100_000)+"7\ndata: a\n\n", io.EOF, "7=a")
	})
	t.Run("none", func(t *testing.T) {
		for _, id := range []string{
			"\x8e\xa7", "x", "1\x00", "\x011", "-1", "+1", "1 ", "1.5", "0x1", "1_0", "é", "18446744073709551616", strings.Repeat("9", 100_000),
		} {
			expectEvents(t, "", sound+"id: "+id+"\ndata: b\n\n", eventreader.ErrInvalid, "1=a")
		}
		expectEvents(t, "", sound+"data: b\n\n", eventreader.ErrInvalid, "1=a")
		expectEvents(t, "", sound+"id:\ndata: b\n\n", eventreader.ErrInvalid, "1=a")
	})
	t.Run("not increasing", func(t *testing.T) {
		expectEvents(t, "", sound+sound, eventreader.ErrInvalid, "1=a")
		expectEvents(t, "5", sound, eventreader.ErrInvalid)
		expectEvents(t, "5", "id: 5\ndata: a\n\n", eventreader.ErrInvalid)
	})
	t.Run("after an event", func(t *testing.T) { expectEvents(t, "5", "id: 6\ndata: a\n\n", io.EOF, "6=a") })
	t.Run("after what is no event", func(t *testing.T) { expectEvents(t, "x", sound, io.EOF, "1=a") })
	t.Run("comments have none", func(t *testing.T) { expectEvents(t, "", ": c\n\n"+sound+": c\n\n", io.EOF, "1=a") })
}

// Guards against: bytes that are no event count as one, so that an answer of them is a whole one.
func TestBytesThatAreNoEventBreakTheAnswerOff(t *testing.T) {
	const sound = "id: 1\ndata: a\n\n"
	for _, text := range []string{
		"\x8e\x11\xa7\xe0 wrong bytes\n\n", "<html>overloaded</html>\n\n", "{}\n\n", "id: 2\n\n", "dat: b\n\n", ": c\nwrong\n\n",
		": \x8e\n\n", "id: 2\ndata: \x8e\n\n", "weight-versions: 4\n\n", "\x00\n\n",
	} {
		expectEvents(t, "", text, eventreader.ErrInvalid)
		expectEvents(t, "5", text, eventreader.ErrInvalid)
		expectEvents(t, "", sound+text, eventreader.ErrInvalid, "1=a")
	}
	t.Run("but not what is allowed beside events", func(t *testing.T) {
		for _, text := range []string{": c\n\n", "\n", "\r\n", ":\n: c\n\n", "retry: 3000\n\n", "event: ping\n\n"} {
			expectEvents(t, "", text+sound+text, io.EOF, "1=a")
		}
		expectEvents(t, "", "weight-versions: 4\nid: 1\ndata: \u00e9\n\n", io.EOF, "1=\u00e9")
	})
}

// Guards against: an answer without events, which an upstream in trouble has sent, counts as a whole one.
func TestAnswerWithoutEventsIsWholeOnlyIfNothingWasLeft(t *testing.T) {
	for _, text := range []string{": c\n\n", "\n", "\n\n\n", "retry: 3000\n\n"} {
		expectEvents(t, "", text, eventreader.ErrNoEvents)
		expectEvents(t, "5", text, eventreader.ErrNoEvents)
	}
	expectEvents(t, "", "", eventreader.ErrNoEvents)
	expectEvents(t, "x", "", eventreader.ErrNoEvents)
	expectEvents(t, "5", "", io.EOF)
	expectEvents(t, "5", "id: 6\nda", io.ErrUnexpectedEOF)
}

func FuzzNext(f *testing.F) {
	f.Add("", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("3", ": c\n\nid: 4\ndata: \x8e\n\nid: \xa7\ndata: b\n\n")
	f.Fuzz(func(t *testing.T, after, answer string) {
		events := eventreader.New(strings.NewReader(answer), after)
		defer events.Close()
		last := events.LastEvent()
		for range len(answer) + 2 {
			event, err := events.Next()
			if err != nil {
				if !isKnown(err) {
					t.Fatal(err)
				}
				return
			}
			if !event.HasData() {
				continue
			}
			before, _ := strconv.ParseUint(last, 10, 64) //nolint:errcheck // "" means none
			id := events.LastEvent()
			number, valid := eventreader.ParseNumber(id)
			if !valid || last != "" && number <= before || id != strconv.FormatUint(number, 10) {
				t.Fatalf("event %q after %q", id, last)
			}
			last = id
		}
		t.Fatal("more events than bytes")
	})
}

// isKnown returns whether an error is one that Next may return.
func isKnown(err error) bool {
	for _, known := range []error{io.EOF, io.ErrUnexpectedEOF, eventsplitter.ErrTooLong, eventreader.ErrInvalid, eventreader.ErrNoEvents} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}
