package bootstrapper_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/bootstrapper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// expectNoCopy queries a peer VM that answers with a handler until it has answered, and checks that no copy
// is taken and no memory kept.
func expectNoCopy(t *testing.T, serve http.HandlerFunc, budgetBytes int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var answers atomic.Int32
	peer := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(w, r)
		if answers.Add(1) == 2 {
			cancel() // the first answer has been handled
		}
	}))
	local, budget := &table{}, rationer.New(budgetBytes)
	b := newBootstrapperOf(newFleet(0), map[string]*table{"t": local}, bootstrapper.WithMemory(budget))
	b.AddPeer(peer)
	b.Run(ctx)
	qt.Check(t, local.HasData(), qt.IsFalse)
	qt.Check(t, answers.Load() >= 2, qt.IsTrue, qt.Commentf("%d answers", answers.Load()))
	qt.Check(t, budget.Available(), qt.Equals, budgetBytes)
}

// Guards against: answers of peer VMs that take more than the VM's memory, when it starts.
func TestAnswersArePartOfTheMemoryBudget(t *testing.T) {
	sound := newBootstrapper(map[string]*table{"t": {known: copyOf(7, strings.Repeat("a", 300<<10))}})
	t.Run("a sound one that doesn't fit", func(t *testing.T) { expectNoCopy(t, sound.ServeHTTP, 64<<10) })
	t.Run("one without end", func(t *testing.T) {
		expectNoCopy(t, func(w http.ResponseWriter, _ *http.Request) {
			chunk := strings.Repeat("no answer at all", 1<<10)
			for err := error(nil); err == nil; {
				_, err = io.WriteString(w, chunk)
			}
		}, 1<<20)
	})
}
