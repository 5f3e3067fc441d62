package lenientdecoder_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
)

type row struct {
	ID     string            `cbor:"id"`
	Names  map[string]string `cbor:"names"`
	Output []byte            `cbor:"output"`
}

// Guards against: one text with wrong bytes makes a whole row or message unreadable.
func TestTextsMayBeNoUTF8(t *testing.T) {
	want := row{ID: "\x8e\xa7", Names: map[string]string{"caf\xe9": "\xff"}, Output: []byte("a")}
	encoded, err := cbor.Marshal(want)
	qt.Assert(t, err, qt.IsNil)
	t.Run("one value", func(t *testing.T) {
		var got row
		qt.Assert(t, lenientdecoder.Decode(encoded, &got), qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, want)
	})
	t.Run("the first of several", func(t *testing.T) {
		var got row
		rest, err := lenientdecoder.DecodeFirst(append(encoded, 1, 2), &got)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, want)
		qt.Check(t, rest, qt.DeepEquals, []byte{1, 2})
	})
	t.Run("the rest must be sound", func(t *testing.T) {
		var got row
		qt.Check(t, lenientdecoder.Decode(encoded[:len(encoded)-1], &got), qt.IsNotNil)
		qt.Check(t, lenientdecoder.Decode(append(encoded, 1), &got), qt.IsNotNil)
		qt.Check(t, lenientdecoder.Decode([]byte{0x82, 1, 2}, &got), qt.IsNotNil)
	})
}
