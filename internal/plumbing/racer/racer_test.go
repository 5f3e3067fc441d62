package racer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/racer"
)

var errFailed = errors.New("failed")

// result is the result of an attempt, which is closed or won.
type result struct {
	name   string
	closed bool
}

func (r *result) Close() error {
	r.closed = true
	return nil
}

// after returns an attempt that returns a result, or fails if it is nil, after a time, whatever its context
// says.
func after(d time.Duration, r *result) racer.Attempt[*result] {
	return func(context.Context) (*result, error) {
		time.Sleep(d)
		if r == nil {
			return nil, errFailed
		}
		return r, nil
	}
}

const interval = 100 * time.Millisecond

func TestFirst(t *testing.T) {
	expect := func(name string, want string, took time.Duration, attempts ...racer.Attempt[*result]) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var group sync.WaitGroup
				defer group.Wait()
				began := time.Now()
				got, found := racer.First(t.Context(), group.Go, interval, attempts, func(error) bool { return false })
				qt.Check(t, found, qt.Equals, want != "")
				qt.Check(t, !found || got.name == want, qt.IsTrue)
				qt.Check(t, time.Since(began), qt.Equals, took)
			})
		})
	}
	fast, slow := 10*time.Millisecond, 300*time.Millisecond
	expect("the first alone", "a", fast, after(fast, &result{name: "a"}), after(0, &result{name: "b"}))
	expect("the next at once after a failure", "b", 2*fast, after(fast, nil), after(fast, &result{name: "b"}))
	expect("the next beside a slow one", "b", interval+fast, after(slow, &result{name: "a"}), after(fast, &result{name: "b"}))
	expect("a slow one after the next has failed", "a", slow, after(slow, &result{name: "a"}), after(fast, nil))
	expect("all fail", "", 2*fast, after(fast, nil), after(fast, nil))
	expect("none", "", 0)
}

func TestUnusedResultsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		late := &result{name: "late"}
		attempts := []racer.Attempt[*result]{after(time.Second, late), after(0, &result{name: "won"})}
		got, _ := racer.First(t.Context(), group.Go, interval, attempts, func(error) bool { return false })
		group.Wait()
		qt.Check(t, late.closed, qt.IsTrue)
		qt.Check(t, got.closed, qt.IsFalse)
	})
}

func TestFirstEndsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		defer group.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), interval/2)
		defer cancel()
		attempts := []racer.Attempt[*result]{after(time.Second, &result{}), after(0, &result{})}
		_, found := racer.First(ctx, group.Go, interval, attempts, func(error) bool { return false })
		qt.Check(t, found, qt.IsFalse)
		_, found = racer.First(t.Context(), group.Go, interval, []racer.Attempt[*result]{after(0, nil), after(0, &result{})},
			func(error) bool { return true })
		qt.Check(t, found, qt.IsFalse)
	})
}
