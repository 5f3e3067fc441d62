package linewriter_test

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/linewriter"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	var to bytes.Buffer
	w := linewriter.New(&to)
	_, _ = io.WriteString(w, "a\n")
	_, _ = io.WriteString(w, "b\n")
	w.Close()
	qt.Check(t, to.String(), qt.Equals, "a\nb\n")
}

func TestABlockedReaderDoesNotBlockWriters(t *testing.T) {
	r, to := io.Pipe()
	w := linewriter.New(to)
	for range 10_000 {
		_, _ = io.WriteString(w, "line\n")
	}
	qt.Check(t, w.Dropped() > 0, qt.IsTrue)
	_ = r.Close()
	w.Close()
}
