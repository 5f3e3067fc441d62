// Package crowdsender emulates callers that nobody controls: connections that hold unusual requests open. It
// also reads what a process holds for them.
package crowdsender

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// dialTimeout and sendTimeout bound a connection that the process doesn't serve.
	dialTimeout = 20 * time.Second
	sendTimeout = 20 * time.Second
	// trickleInterval is the time between two bytes of a request that trickles.
	trickleInterval = 100 * time.Millisecond
	// settlingPollInterval is the time between two readings of a process's memory, of which settledPolls in a row
	// show that it has read what it takes.
	settlingPollInterval = 50 * time.Millisecond
	settledPolls         = 10
	maxSettlingPolls     = 200
)

// Request is what one connection of a crowd sends.
type Request struct {
	Name string
	// Text is sent at once. Trickle is sent after it byte by byte, until the crowd is dismissed.
	Text    string
	Trickle string
}

// Requests returns the requests of the tests, with heads of legalBytes or, if they exceed the limit, of
// tooManyBytes. A request that isn't refused waits for the rest of its body or of its head.
func Requests(host, path string, legalBytes, tooManyBytes int) []Request {
	start := "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 100\r\n"
	const end = "\r\n"
	return []Request{
		{Name: "different lines", Text: start + lines(legalBytes-len(start), differentLine) + end},
		{Name: "equal lines", Text: start + lines(legalBytes-len(start), equalLine) + end},
		{Name: "folded lines", Text: start + "a: b\r\n" + lines(legalBytes-len(start), foldedLine) + end},
		{Name: "lines without values and without carriage returns", Text: start + lines(legalBytes-len(start), bareLine) + end},
		{Name: "head over the limit", Text: start + lines(tooManyBytes, differentLine) + end},
		{Name: "head without end", Text: start + lines(tooManyBytes, differentLine)},
		{Name: "head of legal size without end", Text: start + lines(legalBytes-len(start), differentLine)},
		{Name: "one line without end", Text: start + "a: " + strings.Repeat("b", tooManyBytes)},
		{Name: "empty lines without end", Text: strings.Repeat("\r\n", tooManyBytes)},
		{
			Name: "head that trickles", Text: start + lines(legalBytes/2, differentLine),
			Trickle: lines(legalBytes/4, differentLine),
		},
		{Name: "nothing"},
	}
}

// lines returns header lines of about a length in bytes.
func lines(length int, line func(n int) string) string {
	var all strings.Builder
	for n := 0; ; n++ {
		next := line(n)
		if all.Len()+len(next) > length {
			return all.String()
		}
		all.WriteString(next)
	}
}

func differentLine(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" }
func equalLine(int) string       { return "a:\r\n" }
func foldedLine(int) string      { return " \r\n" }
func bareLine(n int) string      { return strconv.FormatInt(int64(n), 36) + ":\n" }

// Crowd is connections that stay open until Dismiss.
type Crowd struct {
	group     sync.WaitGroup
	sent      sync.WaitGroup
	dismissed chan struct{}
}

// Gather opens connections to an address, each of which sends the request, and returns once each has sent its
// text or was refused.
func Gather(address string, connections int, request Request) *Crowd {
	c := &Crowd{dismissed: make(chan struct{})}
	for range connections {
		c.sent.Add(1)
		c.group.Go(func() { c.send(address, request) })
	}
	c.sent.Wait()
	return c
}

func (c *Crowd) send(address string, request Request) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		c.sent.Done()
		return // refused
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err = conn.Write([]byte(request.Text))
	c.sent.Done()
	for n := 0; err == nil && n < len(request.Trickle); n++ {
		select {
		case <-c.dismissed:
			return
		case <-time.After(trickleInterval):
		}
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, err = conn.Write([]byte{request.Trickle[n]})
	}
	<-c.dismissed
}

// Dismiss closes all connections.
func (c *Crowd) Dismiss() {
	close(c.dismissed)
	c.group.Wait()
}

// ResidentBytes returns the largest resident memory that a process has had.
func ResidentBytes(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read the status of a process: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes << 10, err //nolint:wrapcheck // names the text
		}
	}
	return 0, errors.New("the process has ended")
}

// Descriptors returns the number of open descriptors of a process.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("list the descriptors of a process: %w", err)
	}
	return len(entries), nil
}

// Bounds are what a process may hold.
type Bounds struct {
	ResidentBytes int
	Descriptors   int
}

// ExpectWithin sends a crowd to an address, and checks that the process lives and stays within its bounds until
// it has answered an ordinary request beside the crowd, and another one afterwards.
func ExpectWithin(
	t *testing.T, pid int, address string, connections int, request Request, bounds Bounds, expectAnswer func(),
) {
	t.Helper()
	crowd := Gather(address, connections, request)
	awaitRead(pid)
	expectAnswer()
	expectHeld(t, pid, bounds)
	crowd.Dismiss()
	expectAnswer()
	expectHeld(t, pid, bounds)
}

// awaitRead waits until a process has read what it takes of a crowd's requests, as its memory no longer grows.
func awaitRead(pid int) {
	last, unchanged := 0, 0
	for n := 0; n < maxSettlingPolls && unchanged < settledPolls; n++ {
		time.Sleep(settlingPollInterval)
		resident, _ := ResidentBytes(pid) // expectHeld reports an error
		unchanged++
		if resident != last {
			last, unchanged = resident, 0
		}
	}
}

func expectHeld(t *testing.T, pid int, bounds Bounds) {
	t.Helper()
	resident, err := ResidentBytes(pid)
	qt.Assert(t, err, qt.IsNil)
	descriptors, err := Descriptors(pid)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d MiB resident at most, %d descriptors", resident>>20, descriptors)
	qt.Check(t, resident <= bounds.ResidentBytes, qt.IsTrue, qt.Commentf("%d bytes of %d", resident, bounds.ResidentBytes))
	qt.Check(t, descriptors <= bounds.Descriptors, qt.IsTrue, qt.Commentf("%d descriptors of %d", descriptors, bounds.Descriptors))
}
