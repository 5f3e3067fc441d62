// Command lostzone checks that batch submissions that were accepted in a zone of a large fleet are finished although
// the model servers of that zone are lost for good.
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
	vmsPerZone       = 17
	upstreamsPerZone = 2
	slots            = 7
	items            = 8
	events           = 20
	eventGap         = 25 * time.Millisecond
	// meetTime is how long the VMs take until all know each other.
	meetTime = 8 * time.Second
	// unlistTime is three intervals of heartbeat_ms.
	unlistTime = 3600 * time.Millisecond
	// finishTime is the bound finish_s, and retention the route's retention_s.
	finishTime = 18 * time.Second
	retention  = 60 * time.Second
)

var zones = []string{
	"pwani-kariakoo", "pwani-mbezi", "pwani-kigamboni", "dodoma-makulu", "dodoma-chamwino", "dodoma-nzuguni",
}

const lostZone = "pwani-mbezi"

func main() {
	s := site.New(site.Large)
	var lost []*standin.Upstream
	for n := range upstreamsPerZone * len(zones) {
		zone := zones[n%len(zones)]
		plan := func(*http.Request) standin.Plan { return standin.Plan{Events: events, Gap: eventGap} }
		u := standin.NewUpstream(fmt.Sprintf("i-%s-%d", zone, n), slots, plan)
		s.AddUpstream(u, zone, slots)
		if zone == lostZone {
			lost = append(lost, u)
		}
	}
	s.Configure("r-reports")
	byZone := map[string][]*site.VM{}
	for n := range vmsPerZone {
		for _, zone := range zones {
			byZone[zone] = append(byZone[zone], s.StartVM(fmt.Sprintf("front-%s-%d", zone, n), zone))
		}
	}
	time.Sleep(meetTime)
	began := s.Record.Elapsed()
	all := submitTo(byZone, 0, 3)
	if site.HasTrouble() {
		for _, u := range lost {
			s.Crash(u)
		}
		time.Sleep(unlistTime)
		for _, u := range lost {
			s.Unlist(u)
		}
	}
	time.Sleep(time.Second)
	all = append(all, submitTo(byZone, 3, 3)...)
	ended := s.Record.Elapsed()
	reader := byZone[zones[0]][0]
	unlisted := s.WaitForResults(reader, all, ended+finishTime, began+retention-5*time.Second)
	var violations []string
	for _, submission := range all {
		if left := unlisted[submission.ID]; len(left) > 0 {
			violations = append(violations, fmt.Sprintf("LOST: %d of %d items of %s, which was accepted, are not listed though nothing runs",
				len(left), items, submission.ID))
		}
	}
	s.Record.Finish(violations)
}

var random = rand.New(rand.NewPCG(3, 3))

// submitTo sends a submission to each of some VMs of each zone and returns them all.
func submitTo(byZone map[string][]*site.VM, first, count int) []site.Submission {
	var all []site.Submission
	for _, zone := range zones {
		for _, vm := range byZone[zone][first : first+count] {
			submission := newSubmission()
			if status := vm.Submit(submission); status != http.StatusAccepted {
				site.Fatal("submission answered %d", status)
			}
			all = append(all, submission)
		}
	}
	return all
}

func newSubmission() site.Submission {
	submission := site.Submission{ID: fmt.Sprintf("%016x", random.Uint64()), Path: "/reports/1"}
	for i := range items {
		submission.Items = append(submission.Items, site.Item{
			ID: fmt.Sprintf("%016x", random.Uint64()), Path: fmt.Sprintf("/reports/1/%d", i), Tokens: 500,
			Headers: map[string]string{"Model": "m", site.HeaderTokens(): "300,200", site.HeaderPrompt(): "5c1e07a2:200,91bd3f06:100"},
			Body:    []byte("a report"),
		})
	}
	return submission
}
