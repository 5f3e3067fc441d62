package integration_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
)

// startStandin runs a stand-in as a separate process until the test ends and
// returns its address.
func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	c := exec.Command(program, append([]string{"standin"}, args...)...)
	out, err := c.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Start(), qt.IsNil)
	lines := make(chan string, 1)
	var group sync.WaitGroup
	group.Go(func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
		_ = c.Wait()
	})
	t.Cleanup(func() {
		_ = c.Process.Kill()
		group.Wait()
	})
	address, found := strings.CutPrefix(<-lines, "listening on ")
	qt.Assert(t, found, qt.IsTrue)
	return address
}

// The platform, engines, a service and an entry VM run as separate processes.
// Online requests, a batch job and the commands "config show" and "load" must
// work against them.
func TestEndToEndWithStandinProcesses(t *testing.T) {
	f := &fleet{t: t, spec: sitebuilder.Authority(), dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(f.client.CloseIdleConnections)
	f.writeSecret()
	p := domainSpec{region: "pwani", domain: "pwani-kariakoo"}
	f.platformAddress = startStandin(t, "platform", "--address", "127.0.0.1:0")
	for _, id := range []string{"engine-0", "engine-1"} {
		address := startStandin(t, "engine", "--model", f.spec.Model, "--version", "2026-10", "--step", "2ms")
		f.addUpstream(p, id, f.spec.EnginePool, address)
	}
	f.addUpstream(p, "service", f.spec.Service, startStandin(t, "service", "--name", f.spec.Service))
	f.addVM(p, "entry")
	f.writeVMList()
	platformURL := "http://" + f.platformAddress
	_, err := sitebuilder.ApplyDocument(t.Context(), platformURL, f.spec.Document)
	qt.Assert(t, err, qt.IsNil)
	vm := f.vms[0]
	vm.start()
	vm.waitReady(2)

	qt.Check(t, f.complete(vm, "a verse", 8), qt.IsNil)
	batch := f.submit(vm, 20, 4)
	f.waitEnded(vm, batch.ID)
	f.expectOneResultPerItem(f.vms, batch.ID, 20, 4)
	out, errs, code := command(t, "config", "show", "--platform", platformURL)
	qt.Check(t, code, qt.Equals, 0, qt.Commentf("%s", errs))
	qt.Check(t, out, qt.Contains, f.spec.Model)
	out, errs, code = command(t, "load", "--url", "http://"+vm.settings.CallerAddress, "--token", sitebuilder.OnlineToken,
		"--model", f.spec.Model, "--rate", "40", "--for", "500ms", "--tokens", "4", "--json")
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", errs))
	var report struct {
		Sent    int `json:"sent"`
		Right   int `json:"right"`
		Refused int `json:"refused"`
	}
	qt.Assert(t, json.Unmarshal([]byte(out), &report), qt.IsNil)
	qt.Check(t, report.Sent > 0, qt.IsTrue)
	qt.Check(t, report.Right, qt.Equals, report.Sent)
	qt.Check(t, report.Refused, qt.Equals, 0)
}
