package eventsplitter_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
)

// expectEvents splits a stream and checks its events, written as ID=data, and the
// error at its end.
func expectEvents(t *testing.T, text string, wantErr error, want ...string) {
	t.Helper()
	s := eventsplitter.New(strings.NewReader(text))
	var got []string
	var raw strings.Builder
	for {
		event, err := s.Next()
		if err != nil {
			qt.Check(t, err, qt.ErrorIs, wantErr)
			break
		}
		raw.Write(event.Raw())
		got = append(got, event.ID()+"="+string(event.AppendData(nil)))
	}
	qt.Check(t, got, qt.DeepEquals, want)
	qt.Check(t, strings.HasPrefix(text, raw.String()), qt.IsTrue)
}

func TestEvents(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		expectEvents(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", io.EOF, "1=a", "2=b")
	})
	t.Run("several lines of data", func(t *testing.T) {
		expectEvents(t, "id:1\r\ndata:a\r\ndata: b\r\n\r\n", io.EOF, "1=a\nb")
	})
	t.Run("cut inside an event", func(t *testing.T) {
		expectEvents(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n", io.ErrUnexpectedEOF, "1=a")
	})
	t.Run("cut inside a line", func(t *testing.T) {
		expectEvents(t, "id: 1\nda", io.ErrUnexpectedEOF)
	})
	t.Run("long line", func(t *testing.T) {
		long := strings.Repeat("x", 10_000)
		expectEvents(t, "data: "+long+"\n\n", io.EOF, "="+long)
	})
	// The line exactly fills the 4096 bytes of bufio.Reader's buffer without its line
	// feed.
	t.Run("line of a whole buffer", func(t *testing.T) {
		line := strings.Repeat("x", 4096-len("data: "))
		expectEvents(t, "data: "+line+"\nid: 7\n\n", io.EOF, "7="+line)
	})
	t.Run("too long", func(t *testing.T) {
		expectEvents(t, "data: "+strings.Repeat("x", 2<<20), eventsplitter.ErrTooLong)
	})
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := eventsplitter.New(strings.NewReader(text))
		n := 0
		for {
			event, err := s.Next()
			if err != nil {
				if errors.Is(err, io.EOF) {
					qt.Check(t, n, qt.Equals, len(text))
				}
				return
			}
			n += len(event.Raw())
		}
	})
}
