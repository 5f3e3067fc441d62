package batchkeeper_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// tablesOfJobs are all tables that have rows of jobs.
var tablesOfJobs = []string{"jobs", "jobContent", "jobResults", "jobResultRest", "jobProgress"}

// rowsOf returns the names of all rows of jobs.
func rowsOf(store *rowemulator.Store) []string {
	var names []string
	for _, table := range tablesOfJobs {
		for _, row := range store.Rows(table) {
			names = append(names, row.String())
		}
	}
	return names
}

const outputOfSeveralRows = 70_000 // bytes

// Guards against: rows of a job that nobody reads stay in the store, or those of another job are removed with it.
func TestRemoveRemovesAllRowsOfAJobAndNoOthers(t *testing.T) {
	for _, text := range []string{"x", "0000", "000000/"} {
		t.Run("j/"+text, func(t *testing.T) {
			runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
				runJob(ctx, t, store, neighborOf("j", text), strings.Repeat("y", outputOfSeveralRows))
				others := rowsOf(store)
				stored := runJob(ctx, t, store, "j", strings.Repeat("x", outputOfSeveralRows))
				k := newKeeper(store, ownerB)
				qt.Assert(t, k.Remove(ctx, stored), qt.IsNil)
				qt.Check(t, rowsOf(store), qt.DeepEquals, others)
				_, err := k.Results(ctx, batchkeeper.Caller{}, "j", 0)
				qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotFound)
				qt.Check(t, k.Remove(ctx, stored), qt.IsNil) // another VM has removed it
			})
		})
	}
}

// Guards against: a job is removed that has changed since it was taken for one to remove.
func TestChangedJobIsNotRemoved(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		stored := runJob(ctx, t, store, "j", "output")
		k := newKeeper(store, ownerB)
		_, err := k.Claim(ctx, stored)
		qt.Assert(t, err, qt.IsNil)
		before := rowsOf(store)
		qt.Check(t, k.Remove(ctx, stored), qt.ErrorIs, batchkeeper.ErrOwnershipLost)
		qt.Check(t, rowsOf(store), qt.DeepEquals, before)
	})
}

// Guards against: a VM dies while it removes a job, or the answer of the store is lost, and rows stay for good.
func TestInterruptedRemovalIsRepeated(t *testing.T) {
	expect := func(name string, done bool) {
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
				stored := runJob(ctx, t, store, "j", strings.Repeat("x", outputOfSeveralRows))
				left := 2 // writes until the store fails
				store.SetFaultFunc(func(c rowemulator.Call) (bool, error) {
					if !c.Write || left > 0 {
						left--
						return true, nil
					}
					return done, errors.Join(rowstore.ErrInDoubt, errors.New("answer lost"))
				})
				interrupted, cancel := context.WithCancel(ctx)
				cancel()
				k := newKeeper(store, ownerB)
				qt.Check(t, k.Remove(interrupted, stored), qt.IsNotNil)
				store.SetFaultFunc(nil)
				qt.Assert(t, k.Remove(ctx, stored), qt.IsNil)
				qt.Check(t, rowsOf(store), qt.HasLen, 0)
			})
		})
	}
	expect("not done", false)
	expect("done", true)
}
