package site

import (
	"slices"
	"sync"
	"time"
)

// calmTime is how long no server may have had an item before an unlisted one counts as lost.
const calmTime = 6 * time.Second

// WaitForResults waits until all items are listed, or until the earliest time and then until no server has had an
// item for calmTime. It returns the items that are not listed, by submission. If servers are still at work at the
// latest time, the case can't run.
func (s *Site) WaitForResults(vm *VM, all []Submission, earliest, latest time.Duration) map[string][]string {
	activity := activity{site: s, last: time.Now()}
	for {
		time.Sleep(500 * time.Millisecond)
		activity.update()
		unlisted, complete := vm.unlisted(all)
		calm := time.Since(activity.last)
		now := s.Record.Elapsed()
		count := 0
		for _, left := range unlisted {
			count += len(left)
		}
		s.Record.Add("caller: %d items in %d submissions are not listed; servers idle for %.1f s; %d runs so far",
			count, len(unlisted), calm.Seconds(), activity.runs)
		switch {
		case !complete: // a read was not answered, which shows nothing
			count = -1
		case count == 0:
			return nil
		}
		if count > 0 && now >= earliest && calm >= calmTime {
			return unlisted
		}
		if now > latest {
			Fatal("no verdict before the retention time: servers are still at work, or results can't be read")
		}
	}
}

// unlisted returns the items that are not listed, by submission. It returns false if not all results could be read.
func (vm *VM) unlisted(all []Submission) (unlisted map[string][]string, complete bool) {
	unlisted, complete = map[string][]string{}, true
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, submission := range all {
		group.Go(func() {
			page, ok := vm.Results(submission.ID)
			mu.Lock()
			defer mu.Unlock()
			complete = complete && ok
			for _, item := range submission.Items {
				if !slices.ContainsFunc(page.Results, func(r Result) bool { return r.ID == item.ID }) {
					unlisted[submission.ID] = append(unlisted[submission.ID], item.ID)
				}
			}
		})
	}
	group.Wait()
	return unlisted, complete
}

// activity is what the servers have done.
type activity struct {
	site *Site
	runs int
	last time.Time // when a server last had an item
}

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
