package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

func table() *router.Table {
	return router.NewTable(router.Configuration{Version: 3, Routes: []router.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
}

func expectRoute(t *testing.T, host, path, want string) {
	t.Helper()
	route, found := table().Match(host, path)
	qt.Assert(t, found, qt.Equals, want != "")
	if found {
		qt.Check(t, route.Name, qt.Equals, want)
	}
}

func TestMatch(t *testing.T) {
	t.Run("longest prefix", func(t *testing.T) { expectRoute(t, "a.example", "/x/y/1", "long") })
	t.Run("shorter prefix", func(t *testing.T) { expectRoute(t, "a.example", "/x/1", "short") })
	t.Run("host with port", func(t *testing.T) { expectRoute(t, "B.example:80", "/x/1", "other") })
	t.Run("prefix without its slash", func(t *testing.T) { expectRoute(t, "a.example", "/x", "") })
	t.Run("unknown host", func(t *testing.T) { expectRoute(t, "c.example", "/x/1", "") })
}

func TestSharesFollowWeights(t *testing.T) {
	route := router.Route{Shares: []router.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for hash := range uint64(1000) {
		counts[route.Service(hash)]++
	}
	qt.Check(t, counts, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	qt.Check(t, (&router.Route{}).Service(7), qt.Equals, "")
}

func TestRepeatable(t *testing.T) {
	expect := func(kind router.Kind, resume, want bool) {
		t.Helper()
		qt.Check(t, (&router.Route{Kind: kind, CanResume: resume}).Repeatable(), qt.Equals, want)
	}
	expect(router.KindSafe, false, true)
	expect(router.KindUnsafe, true, false)
	expect(router.KindStream, false, false)
	expect(router.KindStream, true, true)
}

func TestLongestStream(t *testing.T) {
	expect := func(want time.Duration, timeouts ...time.Duration) {
		t.Helper()
		routes := []router.Route{
			{Name: "plain", Kind: router.KindSafe, Timeout: time.Hour},
			{Name: "once", Kind: router.KindStream, Timeout: time.Hour},
		}
		for _, timeout := range timeouts {
			routes = append(routes, router.Route{Kind: router.KindStream, CanResume: true, Timeout: timeout})
		}
		table := router.NewTable(router.Configuration{Version: 1, Routes: routes})
		qt.Check(t, table.LongestStream(24*time.Hour), qt.Equals, want)
	}
	expect(0)
	expect(time.Minute, time.Second, time.Minute)
	expect(24*time.Hour, time.Second, 0)
}

func TestTeamOfAKey(t *testing.T) {
	table := router.NewTable(router.Configuration{Version: 1, Teams: []router.Team{
		{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}, {Name: "withoutKeys"},
	}})
	expect := func(key, want string) {
		t.Helper()
		team, found := table.TeamOf(key)
		qt.Check(t, found, qt.Equals, want != "")
		if found {
			qt.Check(t, team.Name, qt.Equals, want)
		}
	}
	expect("k1", "a")
	expect("k2", "a")
	expect("k3", "b")
	expect("", "")
	expect("K1", "")
	qt.Check(t, table.HasTeams(), qt.IsTrue)
	qt.Check(t, router.NewTable(router.Configuration{}).HasTeams(), qt.IsFalse)
}

// BenchmarkTeamOf shows what a look-up of a key costs with a few teams and with thousands.
func BenchmarkTeamOf(b *testing.B) {
	const keysPerTeam = 5
	for _, teams := range []int{87, 4700} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			configuration := router.Configuration{Version: 1}
			for n := range teams {
				team := router.Team{Name: fmt.Sprint("team", n)}
				for k := range keysPerTeam {
					team.Keys = append(team.Keys, fmt.Sprintf("%032d-%d", n, k))
				}
				configuration.Teams = append(configuration.Teams, team)
			}
			table := router.NewTable(configuration)
			key := configuration.Teams[teams/2].Keys[1]
			for b.Loop() {
				if _, found := table.TeamOf(key); !found {
					b.Fatal("not found")
				}
			}
		})
	}
}
