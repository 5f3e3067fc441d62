// Command resent checks that batch submissions that were accepted are finished although callers send
// them again and the VM that runs them is killed.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
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
	unlisted := s.WaitForResults(c, all, ended+finishTime, began+retention-5*time.Second)
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
