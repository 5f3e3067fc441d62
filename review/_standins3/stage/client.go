package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// desk returns a server of a plain service that answers each request at once.
func desk(id string) *standin.Upstream {
	return standin.NewUpstream(id, 50, func(*http.Request) standin.Plan { return standin.Plan{Body: "ok"} })
}

// model returns a model server with 8 slots, whose answers have a number of events.
func model(id string, events int, gap time.Duration) *standin.Upstream {
	return standin.NewUpstream(id, 8, func(*http.Request) standin.Plan { return standin.Plan{Events: events, Gap: gap} })
}

// submission is a batch submission.
type submission struct {
	id    string
	items []string
	body  string
}

// newSubmission returns a submission of items with a body, in base64.
func newSubmission(items int, body string) submission {
	s := submission{id: newID()}
	var text strings.Builder
	text.WriteString(`{"requests":[`)
	for n := range items {
		if n > 0 {
			text.WriteString(",")
		}
		s.items = append(s.items, newID())
		fmt.Fprintf(&text, `{"id":%q,"path":"/batch/x","headers":{"Model":"m"},"body":%q,"tokens":940}`, s.items[n], body)
	}
	text.WriteString("]}")
	s.body = text.String()
	return s
}

// ordinaryBody is the body of an item, in base64.
const ordinaryBody = "q83vEjRWeJA="

// submit hands in a submission, and returns the status, or 0.
func (v *vm) submit(s submission) int {
	r := v.call(5*time.Second, http.MethodPost, "/batch/"+s.id, s.id, s.body, "Content-Type", "application/json")
	v.stage.logf("SENT submission %+q to %s: %d items, %d bytes -> %d %v", s.id, v.name, len(s.items), len(s.body), r.status, errText(r.err))
	return r.status
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	return text[:min(len(text), 160)]
}

// result is a result as clients read it.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// results reads all results of a submission that are listed.
func (v *vm) results(job string) (int, page) {
	var all page
	for {
		r := v.call(5*time.Second, http.MethodGet, v.stage.names.Results+job+"?after="+strconv.Itoa(all.Next), newID(), "")
		var next page
		if r.err != nil || r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &next) != nil {
			return r.status, all
		}
		all.Total, all.Next, all.Results = next.Total, next.Next, append(all.Results, next.Results...)
		if len(next.Results) == 0 || all.Next >= all.Total {
			return r.status, all
		}
	}
}

// wholeOutput returns the data of all events of an item.
func wholeOutput(item string, events int) string {
	lines := make([]string, events)
	for n := range lines {
		lines[n] = standin.EventData(item, n+1)
	}
	return strings.Join(lines, "\n")
}

// asked is an ordinary request of a client.
type asked struct {
	sent     time.Duration // since the start of the case
	answered time.Duration // after it was sent; 0 if it got no answer
	status   int
}

// caller sends ordinary requests of the safe route to a VM, one every period, each on a new channel.
type caller struct {
	mu   sync.Mutex
	all  []asked
	stop chan struct{}
	done sync.WaitGroup
}

// patience is how long a caller waits for an answer.
const patience = 6 * time.Second

func (v *vm) startCaller(period time.Duration) *caller {
	c := &caller{stop: make(chan struct{})}
	c.done.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
				c.done.Go(func() { c.ask(v) })
			}
		}
	})
	return c
}

func (c *caller) ask(v *vm) {
	began := time.Now()
	r := v.call(patience, http.MethodPost, "/safe/x", newID(), "body")
	a := asked{sent: began.Sub(v.stage.began), status: r.status}
	if r.err == nil {
		a.answered = time.Since(began)
	}
	v.stage.logf("ASKED %s -> %d after %.2f s %s", v.name, r.status, time.Since(began).Seconds(), errText(r.err))
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
}

// end ends the caller, and returns what it has asked.
func (c *caller) end() []asked {
	close(c.stop)
	c.done.Wait()
	return c.all
}

// answeredOK returns how many got a success within a time.
func answeredOK(all []asked, within time.Duration) int {
	n := 0
	for _, a := range all {
		if a.status == http.StatusOK && a.answered > 0 && a.answered <= within {
			n++
		}
	}
	return n
}
