package site

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Fatal ends the process because the case can't run.
func Fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	StopAll()
	os.Exit(exitNotRun)
}

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file that the environment names.
func NewRecord() *Record {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	file, err := os.Create(path)
	if err != nil {
		Fatal("record: %v", err)
	}
	return &Record{file: file, start: time.Now()}
}

// Add adds a line, with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// Elapsed returns the time since the start.
func (r *Record) Elapsed() time.Duration { return time.Since(r.start) }

// Finish adds the verdict and ends the process, and all those that it has started.
func (r *Record) Finish(violations []string) {
	for _, v := range violations {
		r.Add("BROKEN %s", v)
		fmt.Println("BROKEN", v)
	}
	verdict, code := "the rule held", exitHeld
	if len(violations) > 0 {
		verdict, code = "the rule was broken", exitBroken
	}
	r.Add("%s", verdict)
	fmt.Println(verdict)
	_ = r.file.Close()
	StopAll()
	os.Exit(code)
}

// HasTrouble returns whether the case is run with its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
