package deployer_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

func small(options ...deployer.Option) deployer.Document {
	return deployer.New("small", append([]deployer.Option{
		deployer.WithRegion("pwani", "mbezi", "kariakoo"),
		deployer.WithEngines("scribe-lm", 8, deployer.InRegions("pwani"), deployer.WithModel("scribe-lm", "1")),
		deployer.WithCaller("b", deployer.TokenDigest("b"), deployer.Using("scribe-lm")),
		deployer.WithCaller("a", deployer.TokenDigest("a")),
	}, options...)...)
}

func TestOrderOfPartsDoesNotMatter(t *testing.T) {
	one := deployer.New("x", deployer.WithRegion("b", "2", "1"), deployer.WithRegion("a", "3"))
	two := deployer.New("x", deployer.WithRegion("a", "3"), deployer.WithRegion("b", "1", "2"))
	first, err := one.Print()
	qt.Assert(t, err, qt.IsNil)
	second, err := two.Print()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(first), qt.Equals, string(second))
}

func TestPrintedDocumentParsesToItself(t *testing.T) {
	text, err := small().Print()
	qt.Assert(t, err, qt.IsNil)
	doc, err := deployer.Parse(text)
	qt.Assert(t, err, qt.IsNil)
	again, err := doc.Print()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(again), qt.Equals, string(text))
}

// expectProblem checks what is said of a bad document.
func expectProblem(t *testing.T, doc deployer.Document, want string) {
	t.Helper()
	err := doc.Check()
	qt.Check(t, err, qt.ErrorIs, deployer.ErrInvalid)
	qt.Check(t, err, qt.ErrorMatches, ".*"+want+".*")
}

func TestBadDocumentsAreToldWithTheirPath(t *testing.T) {
	expectProblem(t, small(deployer.WithRegion("pwani", "x")), `regions\[1\].name: must be set and unique`)
	expectProblem(t, small(deployer.WithCaller("c", "plain")), `callers\[2\].tokenDigest: must start with "sha256:"`)
	expectProblem(t, small(deployer.WithCaller("c", deployer.TokenDigest("c"), deployer.Using("nothing"))),
		`callers\[2\].uses: "nothing" is no model or service`)
	expectProblem(t, small(deployer.WithService("desk", 0, deployer.InRegions("pwani"))), `sequences: must be at least 1`)
	expectProblem(t, small(deployer.WithEngines("e", 4, deployer.InRegions("pwani"), deployer.WithModel("scribe-lm", "2"))),
		`models: names must be set and unique`)
}

func TestDiffShowsOnlyWhatDiffers(t *testing.T) {
	older, newer := "a\nb\nc\nd\n", "a\nx\nc\nd\ne\n"
	qt.Check(t, string(deployer.Diff([]byte(older), []byte(newer))), qt.Equals, "-b\n+x\n+e\n")
	qt.Check(t, deployer.Diff([]byte(older), []byte(older)), qt.HasLen, 0)
}

func FuzzParse(f *testing.F) {
	text, err := small().Print()
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
		first, err := doc.Print()
		if err != nil {
			t.Fatal(err)
		}
		again, err := deployer.Parse(first)
		if err != nil {
			t.Fatalf("a printed document is refused: %v", err)
		}
		second, err := again.Print()
		if err != nil || !bytes.Equal(first, second) {
			t.Fatal("printing is not stable")
		}
	})
}
