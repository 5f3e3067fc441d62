package gateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// expectAtStart sends a request at a time after the start of a gateway that opens at
// another time after its start. It checks the status, and the time until the answer.
func expectAtStart(t *testing.T, calledAfter, openAfter time.Duration, want int, limit time.Duration) {
	t.Helper()
	withStartingVM(t, plans(healthy), func(v *vm) {
		opened := time.AfterFunc(openAfter, v.open)
		defer opened.Stop()
		time.Sleep(calledAfter)
		start := time.Now()
		status, _, _ := v.call("/safe/x", 0)
		qt.Check(v.t, status, qt.Equals, want)
		qt.Check(v.t, time.Since(start) <= limit, qt.IsTrue, qt.Commentf("took %s", time.Since(start)))
	})
}

func TestARequestRightAfterTheStartWaitsForTheConfiguration(t *testing.T) {
	expectAtStart(t, time.Millisecond, 60*time.Millisecond, http.StatusOK, 100*time.Millisecond)
}

// All VMs start at once, and read what they need over a slow link.
func TestRequestWaitsAsLongAsItsRetryWouldTake(t *testing.T) {
	expectAtStart(t, time.Millisecond, 290*time.Millisecond, http.StatusOK, 300*time.Millisecond)
}

// A gateway without a configuration after maxStartWait won't get one soon, because the
// store is unavailable.
func TestAWaitingRequestIsRejectedIfTheStartTakesLong(t *testing.T) {
	expectAtStart(t, time.Millisecond, time.Minute, http.StatusServiceUnavailable, 310*time.Millisecond)
}

func TestALaterRequestIsRejectedAtOnceIfTheStartTakesLong(t *testing.T) {
	expectAtStart(t, 350*time.Millisecond, time.Minute, http.StatusServiceUnavailable, 10*time.Millisecond)
}
