package batchrunner_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// logBuffer keeps log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// runLine is the log line of a run.
type runLine struct {
	Message string `json:"msg"`
	Job     string `json:"job"`
	Outcome string `json:"outcome"`
	From    struct {
		VM         string        `json:"vm"`
		Boot       uint64        `json:"boot"`
		Way        string        `json:"way"`
		Sender     string        `json:"sender"`
		Record     uint64        `json:"record"`
		RecordAge  time.Duration `json:"recordAge"`
		Unclaimed  bool          `json:"unclaimed"`
		AfterEvent string        `json:"afterEvent"`
	} `json:"from"`
}

// lines returns the log lines with a message.
func (b *logBuffer) lines(t *testing.T, message string) []runLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []runLine
	for _, text := range bytes.Split(bytes.TrimSpace(b.text.Bytes()), []byte("\n")) {
		var line runLine
		qt.Assert(t, json.Unmarshal(text, &line), qt.IsNil)
		if line.Message == message {
			found = append(found, line)
		}
	}
	return found
}

// logTo makes VMs that start later log to a buffer.
func (f *fleet) logTo(b *logBuffer) { f.logger = slog.New(slog.NewJSONHandler(b, nil)) }

// Guards against: the logs can't tell where a run at an upstream came from, above all one that its
// VM stopped.
func TestEachRunIsLoggedWithItsOrigin(t *testing.T) {
	inFleet(t, 1, slowPlan, func(f *fleet) {
		var log logBuffer
		f.logTo(&log)
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		f.setReceivers(b)
		f.submit(a, 1)
		time.Sleep(time.Second)
		f.shutDown(a)
		f.expectResults(b, 3*time.Second, "item0 ok")
		runs := log.lines(t, "item run")
		qt.Assert(t, runs, qt.HasLen, 2)
		stopped, resumed := runs[0], runs[1]
		qt.Check(t, []string{stopped.Outcome, stopped.From.VM, stopped.From.Way, stopped.From.AfterEvent}, qt.DeepEquals,
			[]string{"stopped", "a", "accepted", ""})
		qt.Check(t, []string{resumed.Outcome, resumed.From.VM, resumed.From.Way, resumed.From.Sender}, qt.DeepEquals,
			[]string{"whole", "b", "handedOver", "a"})
		qt.Check(t, resumed.From.AfterEvent, qt.Not(qt.Equals), "")
		qt.Check(t, resumed.From.Record >= stopped.From.Record && stopped.From.Record > 0, qt.IsTrue)
		qt.Check(t, resumed.From.RecordAge < 2*time.Second, qt.IsTrue)
	})
}

// Guards against: an end that a VM hears of before it gets the job leaves no trace, or one at each of
// its repetitions.
func TestEndOfAJobOfAnotherVMIsLoggedOnce(t *testing.T) {
	inFleet(t, 1, slowPlan, func(f *fleet) {
		var log logBuffer
		f.logTo(&log)
		v := f.start("a")
		defer v.stop()
		for range 3 {
			v.runner.Cancelled("j")
			time.Sleep(time.Second)
		}
		qt.Check(t, log.lines(t, "end of a job heard that isn't run here"), qt.HasLen, 1)
		qt.Check(t, v.counters.Get("job_ends_of_others_total"), qt.Equals, uint64(1))
	})
}
