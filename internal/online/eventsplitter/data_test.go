package eventsplitter_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
)

// expectData checks the data of all events of a stream, and the error at its end, with
// the stream read at once and byte by byte.
func expectData(t *testing.T, stream string, wantErr error, want ...string) {
	t.Helper()
	for name, r := range map[string]io.Reader{
		"at once": strings.NewReader(stream), "by bytes": iotest.OneByteReader(strings.NewReader(stream)),
	} {
		events := eventsplitter.New(r)
		var got []string
		for {
			data, err := events.NextData()
			if err != nil {
				qt.Check(t, err, qt.ErrorIs, wantErr, qt.Commentf("%s", name))
				break
			}
			got = append(got, string(data))
		}
		qt.Check(t, got, qt.DeepEquals, want, qt.Commentf("%s", name))
	}
}

func TestData(t *testing.T) {
	t.Run("plain", func(t *testing.T) { expectData(t, "data: a\n\ndata: b\n\n", io.EOF, "a", "b") })
	t.Run("several lines", func(t *testing.T) { expectData(t, "data: a\ndata: b\n\n", io.EOF, "a\nb") })
	t.Run("comments and fields", func(t *testing.T) { expectData(t, ": c\nid: 1\ndata: a\n\n", io.EOF, "a") })
	t.Run("carriage returns", func(t *testing.T) { expectData(t, "data: a\r\n\r\n", io.EOF, "a") })
	t.Run("cut inside a line", func(t *testing.T) { expectData(t, "data: a\n\ndata: b", io.ErrUnexpectedEOF, "a") })
	t.Run("cut before the blank line", func(t *testing.T) {
		expectData(t, "data: a\n\ndata: b\n", io.ErrUnexpectedEOF, "a")
	})
	t.Run("long line", func(t *testing.T) {
		long := strings.Repeat("x", 100_000)
		expectData(t, "data: "+long+"\n\n", io.EOF, long)
	})
	t.Run("too long", func(t *testing.T) {
		expectData(t, "data: "+strings.Repeat("x", eventsplitter.MaxEventBytes+1)+"\n\n", eventsplitter.ErrTooLong)
	})
}

func FuzzNextData(f *testing.F) {
	f.Add("data: a\n\ndata: [DONE]\n\n")
	f.Add(": ping\n\ndata: a\r\ndata: b\n\nid: 7")
	f.Fuzz(func(t *testing.T, stream string) {
		events := eventsplitter.New(strings.NewReader(stream))
		for range len(stream) + 2 {
			_, err := events.NextData()
			if err == nil {
				continue
			}
			known := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, eventsplitter.ErrTooLong)
			if !known {
				t.Fatal(err)
			}
			return
		}
		t.Fatal("more events than bytes")
	})
}
