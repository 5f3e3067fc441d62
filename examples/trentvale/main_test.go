package main

import (
	"testing"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/snapshotter"
)

func TestDocument(t *testing.T) {
	text, err := document().Print()
	snapshotter.ExpectSnapshot(t, "testdata/trentvale.json", text, err)
}
