package deployer_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

func smallDocument(options ...deployer.Option) deployer.Document {
	return deployer.New("small", append([]deployer.Option{
		deployer.WithRegion("pwani", "mbezi", "kariakoo"),
		deployer.WithEngines("scribe-lm", 8, deployer.InRegions("pwani"), deployer.WithModel("scribe-lm", "1")),
		deployer.WithCaller("b", deployer.TokenDigest("b"), deployer.Using("scribe-lm")),
		deployer.WithCaller("a", deployer.TokenDigest("a")),
	}, options...)...)
}

func TestPrintIgnoresOrderOfOptions(t *testing.T) {
	one := deployer.New("x", deployer.WithRegion("b", "2", "1"), deployer.WithRegion("a", "3"))
	two := deployer.New("x", deployer.WithRegion("a", "3"), deployer.WithRegion("b", "1", "2"))
	first, err := one.Print()
	qt.Assert(t, err, qt.IsNil)
	second, err := two.Print()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(first), qt.Equals, string(second))
}

func TestParseAndPrintRoundTrip(t *testing.T) {
	text, err := smallDocument().Print()
	qt.Assert(t, err, qt.IsNil)
	doc, err := deployer.Parse(text)
	qt.Assert(t, err, qt.IsNil)
	again, err := doc.Print()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(again), qt.Equals, string(text))
}

// expectInvalid checks that Check fails with an error that matches want.
func expectInvalid(t *testing.T, doc deployer.Document, want string) {
	t.Helper()
	err := doc.Check()
	qt.Check(t, err, qt.ErrorIs, deployer.ErrInvalid)
	qt.Check(t, err, qt.ErrorMatches, ".*"+want+".*")
}

func TestCheckNamesPathOfError(t *testing.T) {
	expectInvalid(t, smallDocument(deployer.WithRegion("pwani", "x")), `regions\[1\].name: must be set and unique`)
	expectInvalid(t, smallDocument(deployer.WithCaller("c", "plain")),
		`callers\[2\].tokenDigest: must start with "sha256:"`)
	expectInvalid(t, smallDocument(deployer.WithCaller("c", deployer.TokenDigest("c"), deployer.Using("nothing"))),
		`callers\[2\].uses: "nothing" is no model or service`)
	expectInvalid(t, smallDocument(deployer.WithService("desk", 0, deployer.InRegions("pwani"))),
		`sequences: must be at least 1`)
	expectInvalid(t, smallDocument(
		deployer.WithEngines("e", 4, deployer.InRegions("pwani"), deployer.WithModel("scribe-lm", "2"))),
		`models: names must be set and unique`)
}

func TestDiffOmitsCommonLines(t *testing.T) {
	older, newer := "a\nb\nc\nd\n", "a\nx\nc\nd\ne\n"
	qt.Check(t, string(deployer.Diff([]byte(older), []byte(newer))), qt.Equals, "-b\n+x\n+e\n")
	qt.Check(t, deployer.Diff([]byte(older), []byte(older)), qt.HasLen, 0)
}

func FuzzParse(f *testing.F) {
	text, err := smallDocument().Print()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"format":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := deployer.Parse(text)
		if err != nil {
			return
		}
		printed, err := doc.Print()
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := deployer.Parse(printed)
		if err != nil {
			t.Fatalf("parsing a printed document failed: %v", err)
		}
		reprinted, err := parsed.Print()
		if err != nil || !bytes.Equal(printed, reprinted) {
			t.Fatal("a document changes when it is printed, parsed and printed again")
		}
	})
}
