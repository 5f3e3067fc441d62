package commander_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fescuespindle/fescuespindle/internal/faces/commander"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"fescuespindle": func() { os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// runScripts runs the scripts of a directory. UPDATE_SNAPSHOTS makes it rewrite the expected
// outputs in them.
func runScripts(t *testing.T, dir string, setup func(*testscript.Env) error) {
	testscript.Run(t, testscript.Params{
		Dir: dir, Setup: setup, UpdateScripts: os.Getenv("UPDATE_SNAPSHOTS") != "",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"call": call, "calluntil": callUntil, "exitcode": exitCode,
		},
	})
}

// TestOperatorSessions runs operators' commands against a stand-in for the platform's store.
func TestOperatorSessions(t *testing.T) {
	runScripts(t, "testdata/script/operator", func(env *testscript.Env) error {
		platform := httptest.NewServer(standin.NewStore(rowemulator.New()))
		env.Defer(platform.Close)
		env.Setenv("FESCUESPINDLE_PLATFORM", platform.URL)
		return nil
	})
}

// TestCallerSessions runs callers' commands and requests against a site of two VMs.
func TestCallerSessions(t *testing.T) {
	runScripts(t, "testdata/script/caller", func(env *testscript.Env) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		spec := sitebuilder.SingleDomain(2, 2)
		spec.EngineOptions = []engineemulator.Option{engineemulator.WithStep(time.Millisecond)}
		site, err := sitebuilder.New(spec)
		if err != nil {
			return err
		}
		env.Defer(site.Close)
		if _, err := site.Apply(ctx, spec.Document); err != nil {
			return err
		}
		env.Setenv("FESCUESPINDLE_URL", site.VMs[0].URL())
		env.Setenv("OTHER_URL", site.VMs[1].URL())
		return site.WaitReady(ctx)
	})
}

// exitCode runs the program and checks its exit code: exitcode CODE [ARGUMENT...].
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("fescuespindle", args[1:]...)
	code := "0"
	if err != nil {
		code = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if code != args[0] {
		ts.Fatalf("exit code %s, want %s", code, args[0])
	}
}

// callUntil repeats a call until its response has a status, for at most 600 calls: calluntil
// STATUS, followed by the arguments of call.
func callUntil(ts *testscript.TestScript, _ bool, args []string) {
	for range 600 {
		call(ts, false, args[1:])
		if strings.HasPrefix(ts.ReadFile("answer"), args[0]+" ") {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("no answer with status %s: %s", args[0], ts.ReadFile("answer"))
}

// variablePatterns match the parts of responses that differ between runs.
var variablePatterns = []*regexp.Regexp{
	regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}(-[0-9]+)?`),
	regexp.MustCompile(`"created_at":[0-9]+|"expires_at":[0-9]+`),
}

// call sends a request and writes status, headers and body of the response to the file
// "answer", with matches of variablePatterns replaced: call METHOD URL TOKEN [BODY-FILE [KEY]].
func call(ts *testscript.TestScript, _ bool, args []string) {
	body := io.Reader(nil)
	if len(args) > 3 {
		body = strings.NewReader(ts.ReadFile(args[3]))
	}
	request, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+args[2])
	if len(args) > 4 {
		request.Header.Set("Idempotency-Key", args[4])
	}
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	var out bytes.Buffer
	_, _ = fmt.Fprintln(&out, response.StatusCode, response.Header.Get("Content-Type"))
	for _, key := range []string{"X-Fescuespindle-Ran", "X-Fescuespindle-Replayed", "Retry-After"} {
		if value := response.Header.Get(key); value != "" {
			_, _ = fmt.Fprintf(&out, "%s: %s\n", key, value)
		}
	}
	_, err = io.Copy(&out, response.Body)
	ts.Check(err)
	text := out.String()
	for _, pattern := range variablePatterns {
		text = pattern.ReplaceAllString(text, "VARIES")
	}
	ts.Check(os.WriteFile(ts.MkAbs("answer"), []byte(text), 0o600))
}
