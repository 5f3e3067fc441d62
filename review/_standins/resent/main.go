// Command resent checks that batch submissions that were accepted are finished although callers send
// them again and the VM that runs them is killed.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
	"github.com/fescuespindle/fescuespindle/review/_standins/site"
)

const (
	upstreams   = 3
	slots       = 8
	submissions = 12
	items       = 190
	events      = 10
	eventGap    = 12 * time.Millisecond
	// restartDelay is when a process that was killed is started again.
	restartDelay = time.Second
	// finishTime is the bound finish_s, and retention the route's retention_s.
	finishTime = 18 * time.Second
	retention  = 60 * time.Second
	// calmTime is how long no server may have had an item before an unlisted one counts as lost.
	calmTime = 6 * time.Second
)

func main() {
	s := site.New()
	for n := range upstreams {
		plan := func(*http.Request) standin.Plan { return standin.Plan{Events: events, Gap: eventGap} }
		s.AddUpstream(standin.NewUpstream(fmt.Sprintf("i-lm%d", n), slots, plan), slots)
	}
	s.Configure("r-reports")
	a, b, c := s.StartVM("vm-a"), s.StartVM("vm-b"), s.StartVM("vm-c")
	time.Sleep(3 * time.Second) // all VMs know each other
	all := makeSubmissions()
	began := s.Record.Elapsed()
	for _, submission := range all {
		if status := a.Submit(submission); status != http.StatusAccepted {
			site.Fatal("submission answered %d", status)
		}
		if status := b.Submit(submission); status != http.StatusAccepted { // "resend a batch submission whose 202 is only seconds old"
			site.Fatal("repeated submission answered %d", status)
		}
	}
	if site.HasTrouble() {
		a.Kill()
		time.Sleep(restartDelay)
		a.Start()
	}
	ended := s.Record.Elapsed()
	unlisted := waitForResults(s, c, all, ended+finishTime, began+retention-5*time.Second)
	var violations []string
	for _, submission := range all {
		left := unlisted[submission.ID]
		if len(left) == 0 {
			continue
		}
		violations = append(violations, fmt.Sprintf("LOST: %d of %d items of %s, which was accepted, are not listed though nothing runs",
			len(left), items, submission.ID))
		for range 3 {
			for _, vm := range []*site.VM{b, c} {
				vm.Body(submission.ID, left[0])
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	s.Record.Finish(violations)
}

// makeSubmissions returns submissions whose items have short bodies and long prompts.
func makeSubmissions() []site.Submission {
	random := rand.New(rand.NewPCG(1, 1))
	all := make([]site.Submission, 0, submissions)
	for n := range submissions {
		submission := site.Submission{ID: fmt.Sprintf("%016x", random.Uint64()), Path: fmt.Sprintf("/reports/%d", n)}
		for i := range items {
			submission.Items = append(submission.Items, site.Item{
				ID: fmt.Sprintf("%016x", random.Uint64()), Path: fmt.Sprintf("/reports/%d/%d", n, i), Tokens: 500,
				Headers: map[string]string{
					"Model": "m", site.HeaderTokens(): "300,200", site.HeaderPrompt(): prompt(random), "Length-Hint": "180",
					"Content-Type": "application/octet-stream", "Accept": "text/event-stream",
				},
				Body: body(random),
			})
		}
		all = append(all, submission)
	}
	return all
}

// prompt returns a prompt of 80 to 120 short parts.
func prompt(random *rand.Rand) string {
	parts := make([]string, 80+random.IntN(41))
	for n := range parts {
		parts[n] = fmt.Sprintf("%08x:3", random.Uint32())
	}
	return strings.Join(parts, ",")
}

// body returns a body of 1,800 to 2,600 bytes.
func body(random *rand.Rand) []byte {
	text := make([]byte, 1800+random.IntN(801))
	for n := range text {
		text[n] = byte(random.Uint32())
	}
	return text
}

// waitForResults waits until all items are listed, or until the given time and then until no server has had an
// item for calmTime. It returns the items that are not listed, by submission.
func waitForResults(s *site.Site, vm *site.VM, all []site.Submission, earliest, latest time.Duration) map[string][]string {
	activity := newActivity(s)
	for {
		time.Sleep(500 * time.Millisecond)
		activity.update()
		unlisted := readUnlisted(vm, all)
		calm := time.Since(activity.last)
		now := s.Record.Elapsed()
		count := 0
		for _, left := range unlisted {
			count += len(left)
		}
		s.Record.Add("%d items in %d submissions are not listed; servers idle for %.1f s; %d runs so far",
			count, len(unlisted), calm.Seconds(), activity.runs)
		if count == 0 {
			return nil
		}
		if now >= earliest && calm >= calmTime {
			return unlisted
		}
		if now > latest {
			site.Fatal("servers are still at work before the retention time")
		}
	}
}

// readUnlisted returns the items that are not listed, by submission.
func readUnlisted(vm *site.VM, all []site.Submission) map[string][]string {
	unlisted := map[string][]string{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, submission := range all {
		group.Go(func() {
			page, _ := vm.Results(submission.ID)
			for _, item := range submission.Items {
				if !slices.ContainsFunc(page.Results, func(r site.Result) bool { return r.ID == item.ID }) {
					mu.Lock()
					unlisted[submission.ID] = append(unlisted[submission.ID], item.ID)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return unlisted
}

// activity is what the servers have done.
type activity struct {
	site *site.Site
	runs int
	last time.Time // when a server last had an item
}

func newActivity(s *site.Site) *activity { return &activity{site: s, last: time.Now()} }

func (a *activity) update() {
	runs, busy := 0, false
	for _, u := range a.site.Upstreams {
		runs += len(u.Runs())
		busy = busy || u.Running() > 0
	}
	if busy || runs != a.runs {
		a.last = time.Now()
	}
	a.runs = runs
}
