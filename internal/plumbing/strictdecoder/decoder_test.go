package strictdecoder_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/strictdecoder"
)

type location struct {
	Region string `json:"region"`
	Domain string `json:"domain"`
}

type document struct {
	Name   string              `json:"name"`
	Places []location          `json:"places"`
	ByName map[string]location `json:"byName"`
	Limits struct {
		Memory int `json:"memory"`
	} `json:"limits"`
}

func expectError(t *testing.T, text, want string) {
	t.Helper()
	var d document
	err := strictdecoder.Decode([]byte(text), &d)
	got := ""
	if err != nil {
		got = err.Error()
	}
	qt.Check(t, got, qt.Equals, want)
}

func TestErrorsNameTheirLine(t *testing.T) {
	expectError(t,
		`{"name": "a", "places": [{"region": "r"}], "byName": {"x": {"domain": "d"}}, "limits": {"memory": 3}}`, "")
	expectError(t, "{\n\"name\": 1}", "wrong field: line 2: name: must be a string, not a number")
	expectError(t, "{\n\"name\": \"a\"\n", "bad JSON document: line 3: unexpected EOF")
	expectError(t, "{} {}", "bad JSON document: line 1: text after the end of the document")
}

func TestEveryUnknownFieldIsListedWithTheNearestName(t *testing.T) {
	expectError(t,
		"{\n\"naem\": \"a\",\n\"places\": [\n{\"regoin\": \"r\", \"shade\": {\"deep\": 1}}],\n\"byName\": {\"x\": {\"domian\": \"d\"}}}",
		"wrong field: line 2: naem: unknown field; did you mean name?\n"+
			"wrong field: line 4: places.regoin: unknown field; did you mean region?\n"+
			"wrong field: line 4: places.shade: unknown field\n"+
			"wrong field: line 5: byName.x.domian: unknown field; did you mean domain?")
}

func TestLineOfAField(t *testing.T) {
	text := []byte("{\n\"name\": {\n\"limits\": 1},\n\"limits\": {\n\"memory\": 1}}")
	expectLine := func(path string, want int) {
		t.Helper()
		qt.Check(t, strictdecoder.LineOf(text, path), qt.Equals, want)
	}
	expectLine("limits.memory", 5)
	expectLine("limits", 4)
	expectLine("name.limits", 3)
	expectLine("limits.missing", 4)
	expectLine("missing", 1)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "places": [{"region": []}], "byName": {"x": null}, "limits": [[{}]]}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var d document
		_ = strictdecoder.Decode(text, &d)
	})
}
