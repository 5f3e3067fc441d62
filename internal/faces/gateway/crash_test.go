package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

const (
	// contactTime and unnoticedCrashes are the platform's bounds: later than contactTime
	// after the last of unnoticedCrashes, at most lateRequests with the part that crashes
	// servers may still be sent.
	contactTime      = 3 * time.Second
	unnoticedCrashes = 5
	lateRequests     = 3
	// crashesBeforeRejection is the number of crashes after which requests are rejected.
	crashesBeforeRejection = 3
	// restartTime is how long a crashed upstream is down.
	restartTime = 2 * time.Second
)

// crashingPart makes each upstream crash that begins to answer a request with it.
const crashingPart = "dead"

// crashSite is a VM before upstreams that crash and restart.
type crashSite struct {
	*vm
	mu      sync.Mutex
	crashes []time.Time
}

// withCrashSite runs a test on a VM with upstreams that crash under crashingPart.
func withCrashSite(t *testing.T, upstreams int, test func(s *crashSite)) {
	t.Helper()
	withCrashSiteOf(t, upstreams, planWithCrash, test)
}

// withCrashSiteOf is withCrashSite with upstreams that answer as plan says.
func withCrashSiteOf(
	t *testing.T, upstreams int, plan func(*http.Request) standin.Plan, test func(s *crashSite),
) {
	t.Helper()
	withVM(t, nil, func(v *vm) {
		s := &crashSite{vm: v}
		var list []placer.Upstream
		for n := range upstreams {
			id := fmt.Sprint("u", n)
			u := standin.NewUpstream(id, 8, plan)
			s.serve(u)
			v.upstreams = append(v.upstreams, u)
			list = append(list, placer.Upstream{ID: id, Service: "s", Address: id + ":1", Domain: "d", Sequences: 8})
		}
		v.placer.SetUpstreams(list)
		test(s)
		time.Sleep(2 * restartTime)
	})
}

// planUnframed is planWithCrash with answers that have neither a length nor chunks.
func planUnframed(r *http.Request) standin.Plan {
	plan := planWithCrash(r)
	plan.Unframed = true
	return plan
}

func planWithCrash(r *http.Request) standin.Plan {
	if standin.HasPromptPart(r, crashingPart) {
		return standin.Plan{Crash: true, Gap: 20 * time.Millisecond}
	}
	return standin.Plan{Events: 5, Gap: 20 * time.Millisecond}
}

// serve serves an upstream, and restarts it restartTime after each crash.
func (s *crashSite) serve(u *standin.Upstream) {
	stop := s.network.Serve(u.ID()+":1", u)
	s.t.Cleanup(stop)
	u.SetCrash(func() {
		u.SetCrash(func() {}) // requests beside it find it crashed already
		s.recordCrash()
		stop()
		time.AfterFunc(restartTime, func() { s.serve(u) })
	})
}

func (s *crashSite) recordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
}

// crashTimes returns the times of all crashes so far.
func (s *crashSite) crashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}

// ask sends a stream request whose prompt has the given parts and one of its own.
func (s *crashSite) ask(id int, parts string) (status int, complete bool) {
	s.t.Helper()
	path := fmt.Sprintf("/stream/%d", id)
	request, err := standin.NewRequest(http.MethodPost, "http://vm:1"+path, "h", fmt.Sprint("id", id), 0)
	qt.Assert(s.t, err, qt.IsNil)
	standin.SetPrompt(request, fmt.Sprintf("%s,own%d:250", parts, id))
	status, _, complete = s.send(request)
	return status, complete && status == http.StatusOK
}

// runsWith returns the runs whose prompt contains a part, in no particular order.
func (s *crashSite) runsWith(part string) []standin.Run {
	var runs []standin.Run
	for _, u := range s.upstreams {
		for _, run := range u.Runs() {
			if run.HasPromptPart(part) {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// expectBounded checks that few requests with crashingPart reached upstreams later than
// contactTime after the last of unnoticedCrashes.
func (s *crashSite) expectBounded() {
	s.t.Helper()
	crashes := s.crashTimes()
	if len(crashes) < unnoticedCrashes {
		return
	}
	late := 0
	for _, run := range s.runsWith(crashingPart) {
		if run.Start.After(crashes[unnoticedCrashes-1].Add(contactTime)) {
			late++
		}
	}
	qt.Check(s.t, late <= lateRequests, qt.IsTrue, qt.Commentf("%d sent too late, %d crashes", late, len(crashes)))
}

// Guards against: a request that its caller repeats crashes one upstream after another.
func TestARequestThatCrashesUpstreamsIsRejected(t *testing.T) {
	withCrashSite(t, 2, func(s *crashSite) {
		for range crashesBeforeRejection {
			_, complete := s.ask(1, crashingPart+":50")
			qt.Check(s.t, complete, qt.IsFalse)
			time.Sleep(5 * time.Second)
		}
		for range 3 {
			status, _ := s.ask(1, crashingPart+":50")
			qt.Check(s.t, status, qt.Equals, http.StatusBadGateway)
		}
		qt.Check(s.t, s.runs(), qt.Equals, crashesBeforeRejection)
	})
}

// Guards against: a request is blamed for a crash because an upstream that is alive breaks
// off its answers.
func TestARequestThatAnUpstreamBreaksOffIsNotRejected(t *testing.T) {
	truncated := standin.Plan{Events: 5, BreakAfter: 1}
	withVM(t, plans(truncated, truncated), func(v *vm) {
		for range 2 * crashesBeforeRejection {
			_, _, complete := v.call("/stream/x", 0)
			qt.Check(v.t, complete, qt.IsFalse)
			time.Sleep(5 * time.Second)
		}
		qt.Check(v.t, v.runs(), qt.Equals, 2*crashesBeforeRejection)
	})
}

// Guards against: requests that are never alike, but have a part of their prompts in
// common, crash one upstream after another, as each is a new suspect.
func TestUpstreamsDoNotCrashOneAfterAnotherUnderACommonPart(t *testing.T) {
	withCrashSite(t, 6, func(s *crashSite) {
		for id := range 200 {
			s.ask(id, "common:100,rare:50,"+crashingPart+":50")
			time.Sleep(100 * time.Millisecond)
		}
		s.expectBounded()
	})
}

// Guards against: an answer that has neither a length nor chunks and ends before its first
// event, because its upstream crashed, looks complete, and clears the request.
func TestCrashesUnderAnswersWithoutLengthAreNoticed(t *testing.T) {
	withCrashSiteOf(t, 6, planUnframed, func(s *crashSite) {
		for id := range 100 {
			status, complete := s.ask(id, "common:100,"+crashingPart+":50")
			qt.Check(t, complete, qt.IsFalse, qt.Commentf("status %d", status))
			_, complete = s.ask(1000+id, "common:100")
			qt.Check(t, complete, qt.IsTrue)
			time.Sleep(200 * time.Millisecond)
		}
		s.expectBounded()
	})
}

// Guards against: an answer that has neither a length nor chunks, and whose upstream crashes
// between two of its events, looks complete.
func TestAnswerWithoutLengthIsNotCompleteIfItsUpstreamCrashed(t *testing.T) {
	withCrashSiteOf(t, 1, planUnframed, func(s *crashSite) {
		var request sync.WaitGroup
		request.Go(func() {
			status, complete := s.ask(1, "common:100")
			qt.Check(t, status, qt.Equals, http.StatusOK)
			qt.Check(t, complete, qt.IsFalse)
		})
		time.Sleep(50 * time.Millisecond) // between the second and the third of five events
		s.upstreams[0].Crash()
		request.Wait()
	})
}

// Guards against: a sound part is blamed for the crashes, because the requests that crash
// upstreams have it too and few others do.
func TestSoundPartsBesideACrashingOneAreServed(t *testing.T) {
	withCrashSite(t, 6, func(s *crashSite) {
		asked, served := 0, 0
		for id := range 300 {
			switch {
			case id%10 == 9 && len(s.crashTimes()) > 0:
				asked++
				if _, complete := s.ask(id, "common:100,rare:50"); complete {
					served++
				}
			case id%2 == 0:
				s.ask(id, "common:100,rare:50,"+crashingPart+":50")
			default:
				s.ask(id, fmt.Sprintf("common:100,other%d:50", id%7))
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.expectBounded()
		qt.Check(t, served >= asked-len(s.crashTimes()), qt.IsTrue, qt.Commentf("%d of %d served", served, asked))
	})
}

// Guards against: sound requests are rejected after crashes for which no request is to
// blame.
func TestNothingIsRejectedAfterCrashesAlone(t *testing.T) {
	withCrashSite(t, 6, func(s *crashSite) {
		for id := range 200 {
			if id%10 == 0 && id < 150 {
				s.crashBeside(id)
				continue
			}
			status, _ := s.ask(id, fmt.Sprintf("common:100,rare%d:50", id%37))
			qt.Check(t, status, qt.Equals, http.StatusOK)
		}
	})
}

// Guards against: a sound part stays rejected because the upstream that got the probe was
// full and did not run it.
func TestAProbeThatWasNotRunIsSentAgain(t *testing.T) {
	var crashing, rejecting atomic.Bool
	crashing.Store(true)
	plan := func(*http.Request) standin.Plan {
		return standin.Plan{Crash: crashing.Load(), NotRun: rejecting.Swap(false), Events: 5, Gap: time.Millisecond}
	}
	withCrashSiteOf(t, 4, plan, func(s *crashSite) {
		for id := range crashesBeforeRejection {
			s.ask(id, "sound:50")
		}
		crashing.Store(false)
		status, _ := s.ask(10, "sound:50")
		qt.Check(t, status, qt.Equals, http.StatusBadGateway)
		time.Sleep(11 * time.Second)
		rejecting.Store(true)
		for id := range 2 {
			status, complete := s.ask(20+id, "sound:50")
			qt.Check(t, status, qt.Equals, http.StatusOK)
			qt.Check(t, complete, qt.IsTrue)
		}
	})
}

// crashBeside crashes the upstream that runs a request, before the request's first event.
func (s *crashSite) crashBeside(id int) {
	before := s.runs()
	var request sync.WaitGroup
	request.Go(func() { s.ask(id, fmt.Sprintf("common:100,rare%d:50", id%37)) })
	synctest.Wait()
	qt.Assert(s.t, s.runs() > before, qt.IsTrue)
	for _, u := range s.upstreams {
		if u.Running() > 0 {
			u.Crash()
		}
	}
	request.Wait()
}
