// Command upgraded checks that a stream holds events of one software version only, although a server that has
// crashed comes back with another version while the store is down, and crashes again.
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
	upstreams = 12
	slots     = 8
	events    = 28
	eventGap  = 60 * time.Millisecond
	callers   = 80
	// maxMixed is the number of streams of two versions from which on the rule is broken.
	maxMixed = 2
	// Times from the start of the outage.
	firstCrash  = 200 * time.Millisecond
	firstReturn = 1000 * time.Millisecond
	secondCrash = 4200 * time.Millisecond
	outageEnd   = 4500 * time.Millisecond
	end         = 8 * time.Second
)

func main() {
	s := site.New(site.Small)
	for n := range upstreams {
		s.AddUpstream(newServer(fmt.Sprintf("i-lm%02d", n), "v1"), site.Zone, slots)
	}
	s.Configure("r-legacy")
	for _, name := range []string{"vm-a", "vm-b", "vm-c"} {
		s.StartVM(name, site.Zone)
	}
	time.Sleep(3 * time.Second) // all VMs know each other
	stop := make(chan struct{})
	answers := &answers{}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { call(s, answers, stop) })
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	if site.HasTrouble() {
		s.Rows.SetDown(true)
		s.Record.Add("platform: the store is down")
	}
	sleepUntil(began.Add(firstCrash))
	first, address := s.Upstreams[0], s.Address(s.Upstreams[0])
	s.Crash(first)
	sleepUntil(began.Add(firstReturn))
	newer := newServer(first.ID(), "v1.1")
	if !site.HasTrouble() {
		s.List(newer, address, site.Zone, slots) // a server says what it is before it serves, if it can
		time.Sleep(100 * time.Millisecond)
	}
	s.Restart(newer, address)
	sleepUntil(began.Add(secondCrash))
	s.Crash(newer)
	sleepUntil(began.Add(outageEnd))
	if site.HasTrouble() {
		s.Rows.SetDown(false)
		s.Record.Add("platform: the store is back")
	}
	s.Unlist(newer)
	sleepUntil(began.Add(end))
	close(stop)
	group.Wait()
	s.Record.Finish(answers.check(s))
}

func newServer(id, version string) *standin.Upstream {
	u := standin.NewUpstream(id, slots, func(*http.Request) standin.Plan { return standin.Plan{Events: events, Gap: eventGap} })
	u.SetVersion(version)
	return u
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// call sends one request after the other.
func call(s *site.Site, all *answers, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		status, text, complete := s.VMs[rand.IntN(len(s.VMs))].Stream("/legacy/1", id)
		all.add(s, id, status, text, complete)
	}
}

// answers are the answers that callers have received.
type answers struct {
	mu       sync.Mutex
	count    int
	complete int
	mixed    []string
}

// add records an answer. The stand-ins of servers write their version before each event.
func (a *answers) add(s *site.Site, id string, status int, text string, complete bool) {
	var versions []string
	for line := range strings.Lines(text) {
		if version, found := strings.CutPrefix(strings.TrimSpace(line), ": "); found && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	s.Record.Add("caller: request %s: answer %d, complete: %t, events of versions %v", id, status, complete, versions)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	if complete && status == http.StatusOK {
		a.complete++
	}
	if len(versions) > 1 {
		a.mixed = append(a.mixed, id)
	}
}

func (a *answers) check(s *site.Site) []string {
	s.Record.Add("%d answers, %d complete, %d with events of two versions: %v", a.count, a.complete, len(a.mixed), a.mixed)
	if a.complete < a.count/2 {
		site.Fatal("most requests weren't answered")
	}
	if len(a.mixed) <= maxMixed {
		return nil
	}
	return []string{fmt.Sprintf("ORDER: %d streams of %d hold events from servers of two software versions", len(a.mixed), a.count)}
}
