package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// quotas has a number of requests left for each team.
type quotas struct {
	mu   sync.Mutex
	left map[string]int
}

// Admit implements gateway.Quotas.
func (q *quotas) Admit(team string) quotakeeper.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.left[team] == 0 {
		return quotakeeper.Decision{Outcome: quotakeeper.OverQuota, Wait: 700 * time.Millisecond}
	}
	q.left[team]--
	return quotakeeper.Decision{Counted: true}
}

// Return implements gateway.Quotas.
func (q *quotas) Return(team string, _ time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.left[team]++
}

// withQuota calls a gateway of which team a has a number of requests left and team b has no quota.
func withQuota(t *testing.T, left int, upstreams []standin.Plan, test func(v *vm, q *quotas)) {
	t.Helper()
	q := &quotas{left: map[string]int{"a": left}}
	all := teams()
	all[0].RatePerSecond = 1
	withStartingVM(t, upstreams, func(v *vm) {
		v.gateway.SetTable(withTeams(1, all))
		v.gateway.Open()
		test(v, q)
	}, gateway.WithQuotas(q))
}

func TestRequestsBeyondAQuota(t *testing.T) {
	withQuota(t, 1, plans(healthy), func(v *vm, _ *quotas) {
		qt.Check(t, v.callAs("/safe/x", standin.WithKey("k1")), qt.Equals, http.StatusOK)
		start := time.Now()
		request, err := standin.NewRequest(http.MethodPost, "http://vm:1/safe/x", "h", "id", 0)
		qt.Assert(t, err, qt.IsNil)
		standin.SetIdentity(request.Header, standin.WithKey("k2"))
		response, err := v.client.Do(request)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusTooManyRequests)
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, wait >= 0.7 && wait <= 0.9, qt.IsTrue, qt.Commentf("%v", wait))
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		qt.Check(t, v.callAs("/safe/x", standin.WithKey("k3")), qt.Equals, http.StatusOK)
		qt.Check(t, v.runs(), qt.Equals, 2)
	})
}

// A request that an upstream ran, however it ended, counts once; one that none ran does not count.
func TestRequestsThatCount(t *testing.T) {
	expect := func(t *testing.T, upstreams []standin.Plan, wantLeft int) {
		t.Helper()
		withQuota(t, 5, upstreams, func(v *vm, q *quotas) {
			v.callAs("/safe/x", standin.WithKey("k1"))
			synctest.Wait()
			q.mu.Lock()
			defer q.mu.Unlock()
			qt.Check(t, q.left["a"], qt.Equals, wantLeft)
		})
	}
	t.Run("served", func(t *testing.T) { expect(t, plans(healthy), 4) })
	t.Run("repeated", func(t *testing.T) { expect(t, plans(standin.Plan{Status: http.StatusBadGateway}, healthy), 4) })
	t.Run("rejected by an upstream", func(t *testing.T) { expect(t, plans(rejecting), 5) })
	t.Run("no upstream", func(t *testing.T) { expect(t, nil, 5) })
}
