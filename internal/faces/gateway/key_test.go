package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/authenticator"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// teams returns two teams: one with two keys, one with one.
func teams() []router.Team {
	return []router.Team{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}}
}

// withTeams returns the routes of all kinds in a configuration with teams, and one that is public.
func withTeams(version uint64, teams []router.Team) *router.Table {
	all := routes()
	open := all[0]
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	return router.NewTable(router.Configuration{Version: version, Routes: append(all, open), Teams: teams})
}

// callAs sends a request and returns the status.
func (v *vm) callAs(path string, who standin.Identity) int {
	v.t.Helper()
	request, err := standin.NewRequest(http.MethodPost, "http://vm:1"+path, "h", "id", 0)
	qt.Assert(v.t, err, qt.IsNil)
	standin.SetIdentity(request.Header, who)
	status, _, _ := v.send(request)
	return status
}

// expectIdentity sends a request and checks the status and, if it runs, what the upstream is told of
// the sender.
func expectIdentity(t *testing.T, table *router.Table, path string, who standin.Identity, wantStatus int, want standin.Identity) {
	t.Helper()
	withStartingVM(t, plans(healthy), func(v *vm) {
		v.gateway.SetTable(table)
		v.gateway.Open()
		qt.Check(v.t, v.callAs(path, who), qt.Equals, wantStatus)
		runs := v.upstreams[0].Runs()
		if wantStatus != http.StatusOK {
			qt.Check(v.t, runs, qt.HasLen, 0)
			return
		}
		qt.Assert(v.t, runs, qt.HasLen, 1)
		qt.Check(v.t, runs[0].Identity(), qt.Equals, want)
	})
}

func TestRequestsNeedAKey(t *testing.T) {
	table := withTeams(1, teams())
	for _, key := range []string{"Token k1", "Token k2", "token k1"} {
		expectIdentity(t, table, "/safe/x", standin.Identity{Key: key}, http.StatusOK, standin.Identity{Team: "a"})
	}
	expectIdentity(t, table, "/unsafe/x", standin.WithKey("k3"), http.StatusOK, standin.Identity{Team: "b"})
	for _, key := range []string{"", "Token", "Token ", "Token x", "k1", "Bearer k1", "Token k1 k1"} {
		expectIdentity(t, table, "/safe/x", standin.Identity{Key: key}, http.StatusUnauthorized, standin.Identity{})
	}
	expectIdentity(t, table, "/nowhere", standin.Identity{}, http.StatusNotFound, standin.Identity{})
	expectIdentity(t, table, "/nowhere", standin.WithKey("k1"), http.StatusNotFound, standin.Identity{})
}

func TestUpstreamsTrustOnlyTheVM(t *testing.T) {
	table := withTeams(1, teams())
	t.Run("a team's name of the caller", func(t *testing.T) {
		expectIdentity(t, table, "/safe/x", standin.Identity{Key: "Token k3", Team: "a"}, http.StatusOK, standin.Identity{Team: "b"})
	})
	t.Run("a public route", func(t *testing.T) {
		expectIdentity(t, table, "/open/x", standin.Identity{Key: "", Team: "a"}, http.StatusOK, standin.Identity{})
		expectIdentity(t, table, "/open/x", standin.Identity{Key: "Token x", Team: "a"}, http.StatusOK, standin.Identity{})
		expectIdentity(t, table, "/open/x", standin.Identity{Key: "Token k1", Team: ""}, http.StatusOK, standin.Identity{Team: "a"})
	})
	t.Run("a configuration without teams", func(t *testing.T) {
		expectIdentity(t, withTeams(1, nil), "/safe/x", standin.Identity{Key: "Token x", Team: "a"}, http.StatusOK, standin.Identity{Key: "Token x", Team: "a"})
	})
}

func TestRejectionOfAKey(t *testing.T) {
	withStartingVM(t, plans(healthy), func(v *vm) {
		v.gateway.SetTable(withTeams(1, teams()))
		v.gateway.Open()
		available := v.memory.Available()
		body, feed := io.Pipe()
		request, err := standin.NewRequest(http.MethodPost, "http://vm:1/safe/x", "h", "id", 0)
		qt.Assert(t, err, qt.IsNil)
		request.Body, request.ContentLength = body, 100
		start := time.Now()
		response, err := v.client.Do(request) // its body never comes
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusUnauthorized)
		qt.Check(t, response.Header.Get("Www-Authenticate"), qt.Equals, "Token")
		qt.Check(t, v.memory.Available(), qt.Equals, available)
		_ = feed.Close()
	})
}

// TestKeysThatChange: each request of an open connection is decided by the configuration in force.
func TestKeysThatChange(t *testing.T) {
	withStartingVM(t, plans(healthy), func(v *vm) {
		connection := &http.Transport{DialContext: v.network.Dial, MaxConnsPerHost: 1}
		defer connection.CloseIdleConnections()
		v.client = &http.Client{Transport: connection}
		v.gateway.Open()
		steps := []struct {
			teams []router.Team
			want  int
			team  string
		}{
			{teams(), http.StatusOK, "a"},
			{teams()[1:], http.StatusUnauthorized, ""},
			{[]router.Team{{Name: "b", Keys: []string{"k1"}}}, http.StatusOK, "b"},
			{[]router.Team{{Name: "b"}}, http.StatusUnauthorized, ""},
			{teams(), http.StatusOK, "a"},
		}
		for n, step := range steps {
			v.gateway.SetTable(withTeams(uint64(n+1), step.teams))
			before := v.runs()
			qt.Check(v.t, v.callAs("/safe/x", standin.WithKey("k1")), qt.Equals, step.want)
			if step.want == http.StatusOK {
				runs := v.upstreams[0].Runs()
				qt.Assert(v.t, len(runs), qt.Equals, before+1)
				qt.Check(v.t, runs[before].Identity().Team, qt.Equals, step.team)
			}
		}
	})
}

// Guards against: a VM that may have missed a revocation, as it stood still or reaches neither the store nor a VM
// that does, goes on accepting the key, or tells its callers that their new key is unknown.
func TestKeysOfAnOutdatedConfiguration(t *testing.T) {
	const maxAge = 5 * time.Second
	var confirmedAt time.Time // the gateway is called by this goroutine's requests only
	withStartingVM(t, plans(healthy), func(v *vm) {
		v.gateway.SetTable(withTeams(1, teams()))
		v.gateway.Open()
		expect := func(path, key string, want int) {
			t.Helper()
			qt.Check(t, v.callAs(path, standin.Identity{Key: key}), qt.Equals, want)
		}
		expect("/safe/x", "Token k1", http.StatusServiceUnavailable)
		confirmedAt = time.Now()
		expect("/safe/x", "Token k1", http.StatusOK)
		expect("/safe/x", "Token x", http.StatusUnauthorized)
		time.Sleep(maxAge)
		expect("/safe/x", "Token k1", http.StatusServiceUnavailable)
		expect("/safe/x", "Token x", http.StatusServiceUnavailable)
		expect("/open/x", "Token k1", http.StatusServiceUnavailable)
		expect("/open/x", "", http.StatusOK)
		expect("/nowhere", "Token k1", http.StatusNotFound)
		confirmedAt = time.Now()
		expect("/safe/x", "Token k1", http.StatusOK)
	}, gateway.WithAuthenticator(authenticator.New(authenticator.WithMaxKeyAge(maxAge, func() time.Time { return confirmedAt }))))
}

// Guards against: a stream that goes on at another upstream is sent with the caller's key.
func TestResumedStreamCarriesTheTeam(t *testing.T) {
	breaking := standin.Plan{Events: 6, Gap: 10 * time.Millisecond, BreakAfter: 2}
	withStartingVM(t, plans(breaking, breaking), func(v *vm) {
		v.gateway.SetTable(withTeams(1, teams()))
		v.gateway.Open()
		qt.Check(t, v.callAs("/resume/x", standin.Identity{Key: "Token k1", Team: "b"}), qt.Equals, http.StatusOK)
		resumed := 0
		for _, u := range v.upstreams {
			for _, run := range u.Runs() {
				qt.Check(t, run.Identity(), qt.Equals, standin.Identity{Team: "a"}, qt.Commentf("after %d", run.LastEvent))
				if run.LastEvent > 0 {
					resumed++
				}
			}
		}
		qt.Check(t, resumed > 0, qt.IsTrue)
	})
}
