package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

func init() { cases["oddid"] = oddID }

// settleTime is settle_ms on the users' sheets.
const settleTime = time.Second

// largeSubmission returns a submission of 200 items that together need a part of the route's max_count for which a VM
// must ask the others: 480,000 of 2,800,000 tokens.
func largeSubmission() submission {
	job := newSubmission(200, ordinaryBody)
	job.body = strings.ReplaceAll(job.body, `"tokens":940`, `"tokens":2400`)
	return job
}

// oddID has one client, which nobody controls, hand in a batch submission with a Request-Id that has a byte beyond ASCII,
// and read its results. Ordinary clients hand in others after it. It judges LOST: a machine in touch answers 404 or 410 for
// an accepted batch submission later than settle_ms after the 202, or it can't be read at the end. How the ordinary
// submissions fare is written to the record, and not judged.
func oddID(s *stage) (bool, error) {
	const events = 10
	for n := range 6 {
		server := model(fmt.Sprintf("lm%d", n), events, 10*time.Millisecond)
		if err := s.addServer(server.ID(), "lm", 8, server); err != nil {
			return false, err
		}
	}
	for range 3 {
		if _, err := s.addVM(334); err != nil {
			return false, err
		}
	}
	before := largeSubmission()
	if s.vms[0].submit(before) != http.StatusAccepted || !s.completes(before, 20*time.Second) {
		return false, errNotRun
	}
	time.Sleep(8 * time.Second)
	odd := largeSubmission()
	if s.trouble {
		odd.id = "caf\xe9-" + odd.id
	}
	if s.vms[0].submit(odd) != http.StatusAccepted {
		return true, nil // to refuse such a client is allowed
	}
	accepted := time.Now()
	gone, lastGone, read := 0, 0, 0
	for time.Since(accepted) < 20*time.Second {
		time.Sleep(500 * time.Millisecond)
		for _, v := range s.vms {
			sent := time.Now()
			r := v.call(3*time.Second, http.MethodGet, s.names.Results+url.PathEscape(odd.id)+"?after=0", newID(), "")
			if r.status == http.StatusOK {
				read++
			}
			if isGone := r.status == http.StatusNotFound || r.status == http.StatusGone; isGone && sent.Sub(accepted) > settleTime {
				gone, lastGone = gone+1, r.status
				s.logf("READ %q at %s %.1f s after the 202 -> %d", odd.id, v.name, sent.Sub(accepted).Seconds(), r.status)
			}
		}
	}
	s.logf("of the odd submission's reads, each at all machines: %d with success, %d answered %d later than settle_ms", read, gone, lastGone)
	refused, handedIn := 0, 0
	for n := range 6 {
		handedIn++
		job := largeSubmission()
		accepted := false
		for try := range 3 { // each at another machine
			if accepted = s.vms[(n+try)%len(s.vms)].submit(job) == http.StatusAccepted; accepted {
				break
			}
			time.Sleep(time.Second)
		}
		if !accepted {
			refused++
		} else if !s.completes(job, 20*time.Second) {
			return false, errNotRun
		}
	}
	for _, v := range s.vms {
		v.quote("undecodable record")
	}
	s.logf("ordinary submissions of the same size, handed in later, one after another: %d, refused by all machines: %d", handedIn, refused)
	return gone == 0 && read > 0, nil
}

// completes returns whether all results of a submission are listed within a time.
func (s *stage) completes(job submission, within time.Duration) bool {
	for began := time.Now(); time.Since(began) < within; time.Sleep(300 * time.Millisecond) {
		if _, p := s.vms[1].results(job.id); len(p.Results) == len(job.items) {
			return true
		}
	}
	return false
}
