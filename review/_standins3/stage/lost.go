package main

import (
	"net/http"
	"time"
)

func init() { cases["lost"] = lost }

// manyLines is more than the product reads again of what it has written (131,072).
const manyLines = 140_000

// lost hands in a submission whose one item has very many short header lines, and an ordinary one beside it. It judges
// LOST at the end of finish_s.
func lost(s *stage) (bool, error) {
	first, second := model("lm0", 20, 20*time.Millisecond), model("lm1", 20, 20*time.Millisecond)
	for id, u := range map[string]http.Handler{"lm0": first, "lm1": second} {
		if err := s.addServer(id, "lm", 8, u); err != nil {
			return false, err
		}
	}
	for range 2 {
		if _, err := s.addVM(334); err != nil {
			return false, err
		}
	}
	headers := shortLines(manyLines)
	if !s.trouble {
		headers = longLines(headers, 100)
	}
	odd, ordinary := newSubmission(1, headers, ordinaryBody), newSubmission(10, "", ordinaryBody)
	accepted := s.vms[0].submit(odd)
	if s.vms[0].submit(ordinary) != http.StatusAccepted {
		return false, errNotRun
	}
	if accepted != http.StatusAccepted {
		s.logf("the odd submission was not accepted: nothing is owed")
		return true, nil
	}
	// Traffic ends now, and finish_s (18 s) begins. The servers are idle but for these items.
	lastFinished := time.Now()
	listed := 0
	for ended := time.Now().Add(18 * time.Second); time.Now().Before(ended); time.Sleep(500 * time.Millisecond) {
		_, ofOrdinary := s.vms[1].results(ordinary.id)
		if len(ofOrdinary.Results) > listed {
			listed, lastFinished = len(ofOrdinary.Results), time.Now()
		}
	}
	for _, v := range s.vms {
		status, p := v.results(odd.id)
		s.logf("READ %s at %s -> %d, total %d, listed %d", odd.id, v.name, status, p.Total, len(p.Results))
		status, p = v.results(ordinary.id)
		s.logf("READ %s at %s -> %d, total %d, listed %d", ordinary.id, v.name, status, p.Total, len(p.Results))
		r := v.call(5*time.Second, http.MethodGet, s.names.Bodies+odd.id+"?id="+odd.items[0], newID(), "")
		s.logf("READ body of item %s at %s -> %d, %d bytes", odd.items[0], v.name, r.status, len(r.body))
	}
	status, p := s.vms[1].results(odd.id)
	running, runs := first.Running()+second.Running(), 0
	for _, r := range append(first.Runs(), second.Runs()...) {
		if r.ID == odd.items[0] {
			runs++
		}
	}
	calm := time.Since(lastFinished)
	s.logf("RAN item %s: %d times; servers at work on %d of 16 places; nothing was finished for %.1f s", odd.items[0], runs, running, calm.Seconds())
	for _, v := range s.vms {
		v.quote("corrupt row")
		s.logf("%s: %d ends, largest memory %d MB", v.name, v.endCount(), v.peakMB())
	}
	if status != http.StatusOK || listed < len(ordinary.items) {
		return false, errNotRun
	}
	isLost := len(p.Results) == 0 && running == 0 && calm > 5*time.Second
	return !isLost, nil
}
