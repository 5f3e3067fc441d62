package entryvm

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// requestMakers are what a request can be made with, and what opens a connection.
var requestMakers = []string{
	"http.Request{}", "http.NewRequest", "http.NewRequestWithContext", "http.Get", "http.Post", "http.Head", "requestwriter.Append",
	"courier.Call{}", "forwarder.Attempt{}", "attempter.Run", "socketdialer.New", "net.Dialer{}", "net.Dial", "net.DialTimeout",
}

// requestPaths are all places that make requests or open connections, with who receives them. Those to upstreams of the users' platform
// carry the team's name and no key: there is one place that sets it, platform.Codec.Encode, and the calls that it
// encodes are made in two.
//
// A test that a request carries the right team belongs to each path to an upstream: see the tests named here.
var requestPaths = map[string]string{
	// An online request: TestUpstreamsTrustOnlyTheVM; another attempt and a resumed stream use the same call:
	// TestResumedStreamCarriesTheTeam.
	"platform.DecodeCall courier.Call{}": "upstream, online",
	// An item of a job, at each VM that gets the job: TestItemsCarryTheirTeam.
	"internal/batch/batchrunner.startRun courier.Call{}": "upstream, item",
	"internal/batch/batchrunner.startRun attempter.Run":  "upstream, item",
	"internal/online/courier.Send forwarder.Attempt{}":   "upstream, both",
	"platform.Encode http.Request{}":                     "upstream, both",
	"internal/online/forwarder.encode requestwriter.Append": "upstream, both; a tunnel through a peer VM carries " +
		"these bytes",

	"internal/online/tunneler.handshake http.Request{}":                  "peer VM, opens a tunnel",
	"internal/control/bootstrapper.queryPeer http.NewRequestWithContext": "peer VM, copies of tables",
	"internal/control/tablesharer.send http.NewRequestWithContext":       "peer VM, the configuration",
	"internal/batch/jobmover.Move http.NewRequestWithContext":            "peer VM, a job with its items",
	"internal/store/storerelayer.ServeHTTP http.NewRequestWithContext":   "store, in the name of a peer VM",
	"platform.send http.NewRequestWithContext":                           "store",
	"internal/online/relayer.request http.NewRequestWithContext":         "the product's own interface",

	// Who opens connections. A check of a link to an upstream opens one and writes nothing.
	"internal/plumbing/socketdialer.New net.Dialer{}":         "all below",
	"internal/online/forwarder.New socketdialer.New":          "upstream, in tests; pathfinder replaces it",
	"internal/wiring/entryvm.newFinder socketdialer.New":      "upstream, for forwarder and tunnels; peer VM, for tunnels",
	"internal/wiring/entryvm.storeTransport socketdialer.New": "store and peer VMs",
	"internal/wiring/assembler.orTCP socketdialer.New":        "the product's own interface",
	"internal/online/relayer.New net.Dialer{}":                "the product's own interface",
	"internal/plumbing/transporter.New net.Dialer{}":          "store of the product's own interface; VMs, for operators' commands",
}

// otherFolders don't serve.
var otherFolders = []string{"/standin/", "/standins/", "/laboratory/", "/integration/"}

// Guards against: a new path writes requests to upstreams with the caller's key, or without the team's name, as nobody
// has looked at it.
func TestAllPathsOfRequestsAreKnown(t *testing.T) {
	const root = "../../.."
	found := map[string]bool{}
	for _, folder := range []string{"internal", "platform", "pkg", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			isServing := !slices.ContainsFunc(otherFolders, func(f string) bool { return strings.Contains(path, f) })
			if err != nil || !isServing || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			dir, err := filepath.Rel(root, filepath.Dir(path))
			qt.Assert(t, err, qt.IsNil)
			for _, use := range requestsMadeIn(t, path) {
				found[filepath.ToSlash(dir)+"."+use] = true
			}
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
	for use := range found {
		_, known := requestPaths[use]
		qt.Check(t, known, qt.IsTrue, qt.Commentf("%s isn't listed: who receives it, and does it carry the team's name and no key?", use))
	}
	for use := range requestPaths {
		qt.Check(t, found[use], qt.IsTrue, qt.Commentf("%s is listed and doesn't exist", use))
	}
}

// requestsMadeIn returns the functions of a file and which of requestMakers they use.
func requestsMadeIn(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	qt.Assert(t, err, qt.IsNil)
	var uses []string
	for _, declaration := range file.Decls {
		name := "(package)"
		if function, isFunction := declaration.(*ast.FuncDecl); isFunction {
			name = function.Name.Name
		}
		ast.Inspect(declaration, func(node ast.Node) bool {
			maker := ""
			switch node := node.(type) {
			case *ast.CompositeLit:
				maker = selectorName(file, node.Type) + "{}"
			case *ast.SelectorExpr: // also as a value
				maker = selectorName(file, node)
			}
			if slices.Contains(requestMakers, maker) {
				uses = append(uses, fmt.Sprint(name, " ", maker))
			}
			return true
		})
	}
	return uses
}

// selectorName returns the name of what an expression selects from a package. Within a package its own names count too.
func selectorName(file *ast.File, e ast.Expr) string {
	switch e := e.(type) {
	case *ast.SelectorExpr:
		if x, isIdent := e.X.(*ast.Ident); isIdent {
			return x.Name + "." + e.Sel.Name
		}
	case *ast.Ident:
		return file.Name.Name + "." + e.Name
	}
	return ""
}
