package queuer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/queuer"
)

var start = time.Now()

// admitAll admits all waiting requests and returns their callers in order.
func admitAll(q *queuer.Queue) []string {
	var order []string
	for w := q.First(nil); w != nil; w = q.First(nil) {
		q.Admit(w)
		order = append(order, w.Caller().Name())
	}
	return order
}

func push(q *queuer.Queue, caller string, weight, urgency int) *queuer.Waiter {
	return q.Push(q.Caller(caller, weight, start), urgency)
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	t.Run("of several callers", func(t *testing.T) {
		q := queuer.New()
		push(q, "a", 1, 2)
		push(q, "b", 1, 0)
		push(q, "c", 1, 1)
		qt.Check(t, admitAll(q), qt.DeepEquals, []string{"b", "c", "a"})
	})
	t.Run("of one caller", func(t *testing.T) {
		q := queuer.New()
		last, first := push(q, "a", 1, 1), push(q, "a", 1, 0)
		qt.Check(t, q.First(nil), qt.Equals, first)
		q.Remove(first)
		qt.Check(t, q.First(nil), qt.Equals, last)
	})
	t.Run("equally urgent ones of a caller in order of arrival", func(t *testing.T) {
		q := queuer.New()
		first := push(q, "a", 1, 0)
		push(q, "a", 1, 0)
		qt.Check(t, q.First(nil), qt.Equals, first)
		front := q.PushFront(q.Caller("a", 1, start), 0)
		qt.Check(t, q.First(nil), qt.Equals, front)
	})
}

func TestEquallyUrgentCallersTakeTurns(t *testing.T) {
	t.Run("one with many requests", func(t *testing.T) {
		q := queuer.New()
		for range 4 {
			push(q, "hot", 1, 0)
		}
		push(q, "other", 1, 0)
		qt.Check(t, admitAll(q), qt.DeepEquals, []string{"hot", "other", "hot", "hot", "hot"})
	})
	t.Run("by weight", func(t *testing.T) {
		q := queuer.New()
		for range 2 {
			push(q, "a", 2, 0)
			push(q, "b", 1, 0)
		}
		qt.Check(t, admitAll(q), qt.DeepEquals, []string{"a", "b", "a", "b"})
	})
	t.Run("one that returns has no credit for its absence", func(t *testing.T) {
		q := queuer.New()
		for range 3 {
			push(q, "a", 1, 0)
		}
		q.Admit(q.First(nil))
		q.Admit(q.First(nil))
		for range 3 {
			push(q, "b", 1, 0)
		}
		qt.Check(t, admitAll(q), qt.DeepEquals, []string{"b", "a", "b", "b"})
	})
}

func TestSkippedRequestsDoNotHoldUpOthers(t *testing.T) {
	q := queuer.New()
	first := push(q, "a", 1, 0)
	next := push(q, "a", 1, 1)
	qt.Check(t, q.First(func(w *queuer.Waiter) bool { return w == first }), qt.Equals, next)
	qt.Check(t, q.First(func(*queuer.Waiter) bool { return true }), qt.IsNil)
}

func TestRequestIsRemovedOnce(t *testing.T) {
	q := queuer.New()
	w := push(q, "a", 1, 0)
	qt.Check(t, q.Remove(w), qt.IsTrue)
	qt.Check(t, q.Remove(w), qt.IsFalse)
	qt.Check(t, q.Waiting(), qt.Equals, 0)
}

func TestIdleCallersAreForgotten(t *testing.T) {
	q := queuer.New()
	q.RecordAdmission(q.Caller("a", 1, start))
	q.Done("a")
	later := start.Add(queuer.CallerRetention + time.Second)
	q.RecordAdmission(q.Caller("b", 1, later))
	q.RecordAdmission(q.Caller("b", 1, later))
	q.RemoveIdle(later)
	_, found := q.Known("a")
	qt.Check(t, found, qt.IsFalse)
	_, found = q.Known("b")
	qt.Check(t, found, qt.IsTrue)
}

func TestShareOfWhatCanBeServed(t *testing.T) {
	// demands returns a queue whose callers have asked as often as given.
	demands := func(requests map[string]int) *queuer.Queue {
		q := queuer.New()
		for caller, n := range requests {
			for range n {
				q.Caller(caller, 1, start)
			}
		}
		return q
	}
	expectExceeds := func(t *testing.T, q *queuer.Queue, caller string, want bool) {
		t.Helper()
		c, found := q.Known(caller)
		qt.Assert(t, found, qt.IsTrue)
		qt.Check(t, q.ExceedsShare(c, 0.8, start), qt.Equals, want)
	}
	t.Run("the excess is that of the largest", func(t *testing.T) {
		q := demands(map[string]int{"hot": 62, "large": 18, "small": 2})
		expectExceeds(t, q, "hot", true)
		expectExceeds(t, q, "large", false)
		expectExceeds(t, q, "small", false)
	})
	t.Run("several share it", func(t *testing.T) {
		q := demands(map[string]int{"a": 50, "b": 45, "small": 5})
		expectExceeds(t, q, "a", true)
		expectExceeds(t, q, "b", true)
		expectExceeds(t, q, "small", false)
	})
	t.Run("a caller alone has no share", func(t *testing.T) {
		expectExceeds(t, demands(map[string]int{"a": 50}), "a", false)
	})
	t.Run("what was asked long ago doesn't count", func(t *testing.T) {
		q := demands(map[string]int{"hot": 50, "small": 1})
		later := start.Add(queuer.CallerRetention + time.Second)
		c := q.Caller("small", 1, later)
		qt.Check(t, q.ExceedsShare(c, 0.8, later), qt.IsFalse)
	})
}
