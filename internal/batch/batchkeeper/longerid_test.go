package batchkeeper_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// neighborOf returns an ID that begins with another one, a slash and a text, of a job in the same part.
func neighborOf(id, text string) string {
	n := 1
	for batchkeeper.PartOf(fmt.Sprint(id, "/", text, n)) != batchkeeper.PartOf(id) {
		n++
	}
	return fmt.Sprint(id, "/", text, n)
}

// runJob accepts a job of four items, stores a result of three of them, and progress of the last one.
func runJob(ctx context.Context, t *testing.T, store rowstore.Store, id, output string) batchkeeper.VersionedRecord {
	t.Helper()
	k := newKeeper(store, ownerA)
	stored, _, err := k.Submit(ctx, submission(id, 4))
	qt.Assert(t, err, qt.IsNil)
	results := []batchkeeper.Result{result("item0", output), result("item1", output), result("item2", output)}
	stored, err = k.Commit(ctx, stored, results, 0, nil)
	qt.Assert(t, err, qt.IsNil)
	stored, err = k.Release(ctx, stored, map[int]batchkeeper.Progress{3: {LastEvent: id, Output: []byte(id)}})
	qt.Assert(t, err, qt.IsNil)
	return stored
}

// Guards against: a caller chooses the ID of another job, a slash and more as the ID of its own, and the other
// job gets the results or the progress of this one, or can't be read.
func TestResultsOfAJobWithALongerIDAreNotRead(t *testing.T) {
	const longOutput = 70_000 // more than a row holds
	for _, text := range []string{"", "0000", "000000/"} {
		t.Run("j/"+text, func(t *testing.T) {
			runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
				stored := runJob(ctx, t, store, "j", strings.Repeat("x", longOutput))
				runJob(ctx, t, store, neighborOf("j", text), strings.Repeat("y", longOutput))
				reader := newKeeper(store, ownerB)
				page, err := reader.Results(ctx, batchkeeper.Caller{}, "j", 0)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, page.Results, qt.HasLen, 3)
				for _, r := range page.Results {
					qt.Check(t, strings.Trim(string(r.Output), "x"), qt.Equals, "", qt.Commentf("%s", r.Item))
					qt.Check(t, r.Output, qt.HasLen, longOutput)
				}
				loaded, err := reader.Load(ctx, stored.Record)
				qt.Assert(t, err, qt.IsNil)
				want := map[int]batchkeeper.Progress{3: {LastEvent: "j", Output: []byte("j")}}
				qt.Check(t, loaded.Progress, qt.DeepEquals, want)
			})
		})
	}
}
