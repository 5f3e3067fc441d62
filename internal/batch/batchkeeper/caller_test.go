package batchkeeper_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// callerOf returns a caller of a team, or one without a key for "".
func callerOf(team string) batchkeeper.Caller { return batchkeeper.Caller{HasTeams: true, Team: team} }

// submissionOf returns a job of a team.
func submissionOf(team, id string, tokens, limit int64) batchkeeper.Submission {
	s := submissionWithLimit(id, tokens, limit)
	s.Caller = callerOf(team)
	return s
}

// expectAccess checks whether a caller may use a job, by each call on it. Where it may not, the answer is that
// for a job that doesn't exist.
func expectAccess(ctx context.Context, t *testing.T, k *batchkeeper.Keeper, caller batchkeeper.Caller, id string, want bool) {
	t.Helper()
	s := submission(id, 1)
	s.Caller = caller
	calls := map[string]func(id string) error{
		"results": func(id string) error { _, err := k.Results(ctx, caller, id, 0); return err },
		"body":    func(id string) error { _, err := k.Body(ctx, caller, id, "item0"); return err },
	}
	for name, call := range calls {
		err := call(id)
		qt.Check(t, err == nil, qt.Equals, want, qt.Commentf("%s of %v: %v", name, caller, err))
		if !want {
			missing := strings.Replace(fmt.Sprint(call("missing")), "missing", id, 1)
			qt.Check(t, fmt.Sprint(err), qt.Equals, missing)
		}
	}
	stored, accepted, err := k.Submit(ctx, s)
	qt.Check(t, accepted, qt.IsFalse)
	qt.Check(t, err == nil, qt.Equals, want, qt.Commentf("submission of %v: %v", caller, err))
	if !want {
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotFound)
		qt.Check(t, stored.Open(), qt.Equals, true, qt.Commentf("it goes on"))
		qt.Check(t, k.Cancel(ctx, caller, id), qt.ErrorIs, batchkeeper.ErrNotFound)
		current, err := k.Record(ctx, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, current.Cancelled, qt.IsFalse)
		return
	}
	qt.Check(t, k.Cancel(ctx, caller, id), qt.IsNil)
}

func TestJobsBelongToTeams(t *testing.T) {
	expect := func(name string, owner, caller batchkeeper.Caller, want bool) {
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
				s := submission("j", 1)
				s.Caller = owner
				_, _, err := newKeeper(store, ownerA).Submit(ctx, s)
				qt.Assert(t, err, qt.IsNil)
				expectAccess(ctx, t, newKeeper(store, ownerB), caller, "j", want)
			})
		})
	}
	expect("its team", callerOf("a"), callerOf("a"), true)
	expect("another team", callerOf("a"), callerOf("b"), false)
	expect("no key", callerOf("a"), callerOf(""), false)
	expect("a job of a public route", callerOf(""), callerOf("b"), true)
	expect("a job from before there were teams", batchkeeper.Caller{}, callerOf("b"), true)
	expect("the configuration has no teams any more", callerOf("a"), batchkeeper.Caller{}, true)
}

// Guards against: content of a large submission of another team's job stays in the store, or is taken as that
// job's.
func TestLargeSubmissionOfAnotherTeamsJob(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		k := newKeeper(store, ownerA)
		_, _, err := k.Submit(ctx, submissionOf("a", "j", 1, 0))
		qt.Assert(t, err, qt.IsNil)
		large := submission("j", 100)
		large.Caller = callerOf("b")
		for i := range large.Items {
			large.Items[i].Body = []byte(strings.Repeat("x", 20_000))
		}
		_, accepted, err := k.Submit(ctx, large)
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotFound)
		qt.Check(t, accepted, qt.IsFalse)
		body, err := k.Body(ctx, callerOf("a"), "j", "item0")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "body")
	})
}

// olderRecord is a record as a release without teams writes and reads it.
type olderRecord struct {
	ID      string            `cbor:"id"`
	Route   string            `cbor:"route"`
	Host    string            `cbor:"host"`
	Owner   batchkeeper.Owner `cbor:"owner"`
	Items   int               `cbor:"items"`
	Results int               `cbor:"results"`
	Tokens  int64             `cbor:"tokens"`
}

func TestRecordsOfAReleaseWithoutTeams(t *testing.T) {
	t.Run("it reads ours", func(t *testing.T) {
		text, err := cbor.Marshal(batchkeeper.Record{ID: "j", Route: "r", Team: "a", Items: 2, Tokens: 5})
		qt.Assert(t, err, qt.IsNil)
		var older olderRecord
		qt.Assert(t, cbor.Unmarshal(text, &older), qt.IsNil)
		qt.Check(t, older, qt.Equals, olderRecord{ID: "j", Route: "r", Items: 2, Tokens: 5})
	})
	t.Run("we read its records", func(t *testing.T) {
		text, err := cbor.Marshal(olderRecord{ID: "j", Route: "r", Items: 2, Tokens: 5})
		qt.Assert(t, err, qt.IsNil)
		var record batchkeeper.Record
		qt.Assert(t, cbor.Unmarshal(text, &record), qt.IsNil)
		qt.Check(t, record.Team, qt.Equals, "")
		qt.Check(t, record.Tokens, qt.Equals, int64(5))
	})
	t.Run("a job without a team is written as before", func(t *testing.T) {
		text, err := cbor.Marshal(batchkeeper.Record{ID: "j"})
		qt.Assert(t, err, qt.IsNil)
		var fields map[string]any
		qt.Assert(t, cbor.Unmarshal(text, &fields), qt.IsNil)
		_, found := fields["team"]
		qt.Check(t, found, qt.IsFalse)
	})
	t.Run("its reservations count for jobs without a team", func(t *testing.T) {
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			older := newKeeper(store, ownerA) // the row of a job without a team is as before
			_, _, err := older.Submit(ctx, submissionWithLimit("j", 100, 100))
			qt.Assert(t, err, qt.IsNil)
			rows, _, err := store.Range(ctx, "jobAdmission", "jobAdmission", "", "")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rows.Rows, qt.HasLen, 1)
			qt.Check(t, rows.Rows[0].Name, qt.Equals, "r")
			k := newKeeper(store, ownerB)
			_, _, err = k.Submit(ctx, submissionOf("", "k", 1, 100))
			qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrOverQuota)
			_, _, err = k.Submit(ctx, submissionOf("a", "l", 100, 100))
			qt.Check(t, err, qt.IsNil)
		})
	})
}

// The limit of a route applies to each team: one that has reached it takes nothing from another, also where their
// and the routes' names run together.
func TestLimitOfEachTeam(t *testing.T) {
	const (
		limit = 1000
		more  = 200 // more than a VM admits without a reservation
	)
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		all := newKeepers(store, 3)
		expect := func(vm int, team, id string, tokens int64, want error) {
			t.Helper()
			_, _, err := all[vm].Submit(ctx, submissionOf(team, id, tokens, limit))
			if want == nil {
				qt.Check(t, err, qt.IsNil)
				return
			}
			qt.Check(t, err, qt.ErrorIs, want)
		}
		for n, team := range []string{"a", "b", "a b", "a%20b", ""} {
			expect(n%3, team, fmt.Sprint("whole", n), limit, nil)
			expect((n+1)%3, team, fmt.Sprint("more", n), more, batchkeeper.ErrOverQuota)
		}
		expect(1, "a", "whole0", limit, nil) // again, through another VM
		expect(2, "b", "whole0", limit, batchkeeper.ErrNotFound)
	})
}

// Many VMs admit jobs of two teams at the same time, each also through a second VM, as a caller does whose answer is late.
// Neither team gets more than its limit, and neither is kept from it by the other.
func TestLimitOfEachTeamThroughManyVMs(t *testing.T) {
	const vms, limit, tokens, rounds = 12, 100_000, 9000, 6
	runWithStore(t, func(t *testing.T, _ context.Context, store *rowemulator.Store) {
		ctx := t.Context()
		var mu sync.Mutex
		accepted := map[string]bool{}
		all := newKeepers(store, vms)
		var group sync.WaitGroup
		for n := range vms {
			group.Go(func() {
				team := []string{"a", "b"}[n%2]
				for round := range rounds {
					id := fmt.Sprintf("%s-%d-%d", team, n, round)
					for _, k := range []*batchkeeper.Keeper{all[n], all[(n+1)%vms]} {
						_, _, err := k.Submit(ctx, submissionOf(team, id, tokens, limit))
						mu.Lock()
						accepted[id] = accepted[id] || err == nil
						mu.Unlock()
					}
					time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				}
			})
		}
		group.Wait()
		sums := map[string]int{}
		for id, isAccepted := range accepted {
			if isAccepted {
				sums[id[:1]] += tokens
			}
		}
		for _, team := range []string{"a", "b"} {
			qt.Check(t, float64(sums[team]) <= (1+maxOverage)*limit && sums[team] >= limit-tokens, qt.IsTrue,
				qt.Commentf("%s: %d tokens of %d", team, sums[team], limit))
		}
	})
}

// Guards against: a job that has ended, or whose VM was lost between its reservation and its record, takes the
// tokens of its team for good.
func TestTokensOfATeamAreGivenBack(t *testing.T) {
	const limit = 100
	submit := func(ctx context.Context, k *batchkeeper.Keeper, id string) error {
		_, _, err := k.Submit(ctx, submissionOf("a", id, limit, limit))
		return err
	}
	t.Run("ended", func(t *testing.T) {
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			all := newKeepers(store, 2)
			stored, _, err := all[0].Submit(ctx, submissionOf("a", "j", limit, limit))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, submit(ctx, all[1], "k"), qt.ErrorIs, batchkeeper.ErrOverQuota)
			_, err = all[0].Commit(ctx, stored, []batchkeeper.Result{result("item0", "x")}, 0, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, submit(ctx, all[1], "k"), qt.IsNil)
		})
	})
	t.Run("cancelled", func(t *testing.T) {
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			all := newKeepers(store, 2)
			qt.Assert(t, submit(ctx, all[0], "j"), qt.IsNil)
			qt.Assert(t, all[0].Cancel(ctx, callerOf("a"), "j"), qt.IsNil)
			qt.Check(t, submit(ctx, all[1], "k"), qt.IsNil)
		})
	})
	t.Run("lost between reservation and record", func(t *testing.T) {
		runWithStore(t, func(t *testing.T, _ context.Context, store *rowemulator.Store) {
			ctx, all := t.Context(), newKeepers(store, 2)
			store.SetFaultFunc(func(c rowemulator.Call) (bool, error) {
				if c.Write && c.Tx.Puts[0].Table == "jobs" {
					return false, rowstore.ErrNotDone
				}
				return true, nil
			})
			qt.Check(t, submit(ctx, all[0], "j"), qt.ErrorIs, batchkeeper.ErrNotWritten)
			store.SetFaultFunc(nil)
			qt.Check(t, submit(ctx, all[1], "k"), qt.ErrorIs, batchkeeper.ErrOverQuota)
			time.Sleep(7 * time.Second) // longer than a reservation counts
			qt.Check(t, submit(ctx, all[1], "k"), qt.IsNil)
		})
	})
}
