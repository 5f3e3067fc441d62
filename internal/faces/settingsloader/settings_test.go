package settingsloader_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
)

func TestExampleIsValid(t *testing.T) {
	settings, err := settingsloader.Parse([]byte(settingsloader.Example))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, settings.VM, qt.Equals, "entry-1")
}

// expectInvalid replaces a part of the example and checks that Parse fails with an error
// that contains want.
func expectInvalid(t *testing.T, old, replacement, want string) {
	t.Helper()
	text := strings.Replace(settingsloader.Example, old, replacement, 1)
	_, err := settingsloader.Parse([]byte(text))
	qt.Check(t, err, qt.ErrorIs, settingsloader.ErrInvalid)
	qt.Check(t, strings.Contains(err.Error(), want), qt.IsTrue, qt.Commentf("%v", err))
}

func TestErrorsNameLineAndField(t *testing.T) {
	expectInvalid(t, `"vm": "entry-1"`, `"vm": ""`, "line 2: vm: must not be empty")
	expectInvalid(t, `"profiling": false`, `"profiling": 3`, "line 14: profiling: must be a bool, not a number")
	expectInvalid(t, `"logFormat": "text"`, `"logFormat": "xml"`, `line 13: logFormat: must be "text" or "json"`)
	expectInvalid(t, `"5s"`, `"soon"`, `must be a duration, such as 5s`)
	expectInvalid(t, `"http://127.0.0.1:8090"`, `"127.0.0.1"`, "platformUrl: must be an http or https URL")
	expectInvalid(t, `}`, `} {}`, "text after the end of the document")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(settingsloader.Example))
	f.Add([]byte(`{"vm":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := settingsloader.Parse(text)
		if err == nil && settings.VM == "" {
			t.Fatal("accepted settings without a VM")
		}
	})
}
