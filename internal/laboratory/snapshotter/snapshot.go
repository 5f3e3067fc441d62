// Package snapshotter compares the output of tests with golden files.
package snapshotter

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// ExpectSnapshot fails the test unless err is nil and the text equals a golden file.
// If UPDATE_SNAPSHOTS is set, it writes the file instead of comparing.
func ExpectSnapshot(t *testing.T, path string, text []byte, err error) {
	t.Helper()
	qt.Assert(t, err, qt.IsNil)
	if os.Getenv("UPDATE_SNAPSHOTS") != "" {
		qt.Assert(t, os.MkdirAll(filepath.Dir(path), 0o755), qt.IsNil)
		qt.Assert(t, os.WriteFile(path, text, 0o644), qt.IsNil)
		return
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(text), qt.Equals, string(want))
}
