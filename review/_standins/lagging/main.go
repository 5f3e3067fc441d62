// Command lagging checks that items of an accepted batch submission are not given up when its VM stops and hands
// it over to a VM that doesn't know the route yet.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
	"github.com/fescuespindle/fescuespindle/review/_standins/site"
)

const (
	upstreams   = 3
	slots       = 8
	submissions = 8
	items       = 6
	events      = 60
	eventGap    = 30 * time.Millisecond
	// cutTime is how long a machine is partitioned from the store.
	cutTime = 5500 * time.Millisecond
	// changeDelay, submitDelay and stopDelay are when the operator adds a route, a caller uses it and a machine is
	// stopped, after the cut.
	changeDelay = 200 * time.Millisecond
	submitDelay = 400 * time.Millisecond
	stopDelay   = 700 * time.Millisecond
	// readTime is how long results are read. It is shorter than the retention time of the route.
	readTime  = 35 * time.Second
	retention = 60 * time.Second
)

func main() {
	s := site.New(site.Small)
	for n := range upstreams {
		plan := func(*http.Request) standin.Plan { return standin.Plan{Events: events, Gap: eventGap} }
		s.AddUpstream(standin.NewUpstream(fmt.Sprintf("i-lm%d", n), slots, plan), site.Zone, slots)
	}
	s.Configure("r-reports")
	a, b, c := s.StartVM("vm-a", site.Zone), s.StartVM("vm-b", site.Zone), s.StartVM("vm-c", site.Zone)
	time.Sleep(3 * time.Second) // all VMs know each other
	began := time.Now()
	if site.HasTrouble() {
		if err := b.Link.Partition(); err != nil {
			site.Fatal("%v", err)
		}
		s.Record.Add("platform: %s is partitioned from the store", b.Name)
	}
	sleepUntil(began.Add(changeDelay))
	s.Configure("r-reports", "r-letters")
	sleepUntil(began.Add(submitDelay))
	all := makeSubmissions()
	for _, submission := range all {
		if status := a.Submit(submission); status != http.StatusAccepted {
			site.Fatal("submission answered %d", status)
		}
	}
	sleepUntil(began.Add(stopDelay))
	a.Terminate()
	sleepUntil(began.Add(cutTime))
	if err := b.Link.Restart(); err != nil {
		site.Fatal("%v", err)
	}
	s.Record.Add("platform: %s reaches the store", b.Name)
	results := readResults(s, c, all, began.Add(readTime))
	recordRuns(s, all)
	s.Record.Finish(check(s, all, results, time.Since(began)))
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

func makeSubmissions() []site.Submission {
	random := rand.New(rand.NewPCG(2, 2))
	all := make([]site.Submission, 0, submissions)
	for n := range submissions {
		submission := site.Submission{ID: fmt.Sprintf("%016x", random.Uint64()), Path: fmt.Sprintf("/letters/%d", n)}
		for i := range items {
			submission.Items = append(submission.Items, site.Item{
				ID: fmt.Sprintf("%016x", random.Uint64()), Path: fmt.Sprintf("/letters/%d/%d", n, i), Tokens: 800,
				Headers: map[string]string{"Model": "m", site.HeaderTokens(): "300,500", site.HeaderPrompt(): "5c1e07a2:200,91bd3f06:100"},
				Body:    []byte("a letter"),
			})
		}
		all = append(all, submission)
	}
	return all
}

// readResults reads the results of all submissions until all are listed or the time is over.
func readResults(s *site.Site, vm *site.VM, all []site.Submission, until time.Time) map[string][]site.Result {
	results := map[string][]site.Result{}
	for time.Now().Before(until) {
		listed := 0
		for _, submission := range all {
			if page, ok := vm.Results(submission.ID); ok {
				results[submission.ID] = page.Results
			}
			listed += len(results[submission.ID])
		}
		s.Record.Add("%d of %d items are listed", listed, submissions*items)
		if listed == submissions*items {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	return results
}

// recordRuns records how often servers have run the items of each submission. All runs of the stand-ins end well.
func recordRuns(s *site.Site, all []site.Submission) {
	for _, submission := range all {
		runs := 0
		for _, u := range s.Upstreams {
			for _, run := range u.Runs() {
				for _, item := range submission.Items {
					if run.ID == item.ID {
						runs++
					}
				}
			}
		}
		s.Record.Add("servers: %d runs of the %d items of %s, none answered 422 or 500", runs, items, submission.ID)
	}
}

// check returns the submissions with items that were given up, or that are not listed.
func check(s *site.Site, all []site.Submission, results map[string][]site.Result, age time.Duration) []string {
	var violations []string
	for _, submission := range all {
		errored := 0
		for _, result := range results[submission.ID] {
			if result.State == "errored" {
				errored++
			}
		}
		s.Record.Add("caller: %s has %d results, %d of them errored", submission.ID, len(results[submission.ID]), errored)
		if errored > 0 && age < retention {
			violations = append(violations, fmt.Sprintf(
				"MIXED: %d of %d items of %s are errored before a 422, three answers of 500, the retention time or the end of the route",
				errored, items, submission.ID))
		}
	}
	return violations
}
