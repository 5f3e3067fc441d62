package batchrunner_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// trouble is what happens to a VM at one of its calls of the store.
type trouble int

const (
	none        trouble = iota
	crashBefore         // the VM is lost before the call is made
	crashAfter          // the VM is lost after the call's effect, before its answer
	crashLate           // the VM is lost, and the call takes effect seconds later
	answerLost          // the call takes effect and its answer is lost
	callLost            // the call is lost
	callLate            // the answer is lost and the call takes effect seconds later
	doubled             // the call takes effect, and once more seconds later
	suspended           // the VM stops for seconds with the call in hand
	turnedAway          // the store refuses all calls of the VM for seconds

	troubleKinds = int(turnedAway)
)

const (
	lateTime          = 3 * time.Second
	suspendedTime     = 9 * time.Second
	turnedAwayTime    = 12 * time.Second
	restartAfterCrash = 2 * time.Second
	settleTime        = 50 * time.Second
	callsLooked       = 40 // calls of the first VM that trouble comes at
	expectedFailures  = 3  // the route's attempts
	mostFailures      = 9
	mostImpossible    = 3
	quotaTokens       = 100
	normalEvents      = 5
	longEvents        = 15
	longGap           = 200 * time.Millisecond
)

var troubleNames = [...]string{
	"none", "crashBefore", "crashAfter", "crashLate", "answerLost", "callLost", "callLate", "doubled", "suspended",
	"turnedAway",
}

func (k trouble) String() string { return troubleNames[k] }

// line is one VM's way to the store.
type line struct {
	store    *rowemulator.Store
	setAlive func(bool)
	crash    func()

	mu       sync.Mutex
	calls    int
	troubles map[int]trouble // by the number of the call
	wakes    time.Time       // until when the VM is suspended
	served   time.Time       // until when the store turns the VM away
	dead     bool
}

// begin counts a call and returns what happens at it.
func (l *line) begin() trouble {
	time.Sleep(time.Until(l.wakesAt()))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return crashBefore
	}
	l.calls++
	kind := l.troubles[l.calls]
	now := time.Now()
	switch {
	case kind == suspended:
		l.wakes = now.Add(suspendedTime)
		l.away(suspendedTime)
	case kind == turnedAway:
		l.served = now.Add(turnedAwayTime)
		l.away(turnedAwayTime)
	case now.Before(l.served):
		return turnedAway
	}
	return kind
}

func (l *line) wakesAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wakes
}

// away lets the other VMs miss this one's heartbeat for a time.
func (l *line) away(d time.Duration) {
	l.setAlive(false)
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.dead {
			l.setAlive(true)
		}
	})
}

// die loses the VM; its call never ends for it.
func (l *line) die(ctx context.Context) error {
	l.mu.Lock()
	first := !l.dead
	l.dead = true
	l.mu.Unlock()
	if first {
		l.crash()
	}
	<-ctx.Done()
	return rowstore.ErrInDoubt
}

// Transact implements rowstore.Store.
func (l *line) Transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	later := func() { time.AfterFunc(lateTime, func() { _, _ = l.store.Apply(tx) }) }
	kind := l.begin()
	switch kind {
	case crashBefore:
		return rowstore.Snapshot{}, l.die(ctx)
	case crashAfter:
		_, _ = l.store.Apply(tx)
		return rowstore.Snapshot{}, l.die(ctx)
	case crashLate:
		later()
		return rowstore.Snapshot{}, l.die(ctx)
	case answerLost:
		_, _ = l.store.Apply(tx)
		return rowstore.Snapshot{}, rowstore.ErrInDoubt
	case callLost:
		return rowstore.Snapshot{}, rowstore.ErrInDoubt
	case callLate:
		later()
		<-ctx.Done()
		return rowstore.Snapshot{}, rowstore.ErrInDoubt
	case doubled:
		later()
	case suspended:
		time.Sleep(suspendedTime)
	case turnedAway:
		return rowstore.Snapshot{}, rowstore.ErrNotDone
	case none:
	}
	return l.store.Transact(context.WithoutCancel(ctx), tx) // a call that is on its way isn't called back
}

// read says what trouble does to a call that only reads.
func (l *line) read(ctx context.Context) error {
	switch l.begin() {
	case crashBefore, crashAfter, crashLate:
		return l.die(ctx)
	case answerLost, callLost, callLate:
		return rowstore.ErrInDoubt
	case suspended:
		time.Sleep(suspendedTime)
	case turnedAway:
		return rowstore.ErrNotDone
	case doubled, none:
	}
	return ctx.Err()
}

// Range implements rowstore.Store.
func (l *line) Range(ctx context.Context, table, part, from, to string) (rowstore.Snapshot, string, error) {
	if err := l.read(ctx); err != nil {
		return rowstore.Snapshot{}, "", err
	}
	return l.store.Range(ctx, table, part, from, to)
}

// Changes implements rowstore.Store.
func (l *line) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	if err := l.read(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return l.store.Changes(ctx, table, after, wait)
}

// The items of the job that goes through all troubles. The long one's name makes
// its output long enough to be checkpointed.
var (
	longItem = "long-" + strings.Repeat("x", 150)
	crashJob = []string{"normal", longItem, "fails", "impossible"}
)

func crashPlan(_ string, r *http.Request) standin.Plan {
	switch r.Header.Get("Request-Id") {
	case "fails":
		return standin.Plan{Status: http.StatusInternalServerError}
	case "impossible":
		return standin.Plan{Status: http.StatusUnprocessableEntity}
	case longItem:
		return standin.Plan{Events: longEvents, Gap: longGap}
	default:
		return standin.Plan{Events: normalEvents, Gap: 100 * time.Millisecond}
	}
}

// caller hands a job in and reads it, as callers do, and keeps what it read.
type caller struct {
	f       *fleet
	reader  *batchkeeper.Keeper
	results []batchkeeper.Result
}

// submitTime is how long callers wait for a job to be accepted before they hand
// it to another VM.
const submitTime = 4 * time.Second

// submit hands the job to one VM after the other until one accepts it. A VM may
// still accept it after the caller has gone on to the next one.
func (c *caller) submit(vms ...*vm) {
	var items []batchkeeper.Item
	for _, id := range crashJob {
		items = append(items, batchkeeper.Item{ID: id, URI: "/b/x", Header: http.Header{}, Tokens: 10})
	}
	for _, v := range vms {
		if err := c.f.handIn(v, "j", items); err == nil {
			return
		}
	}
	c.f.t.Fatal("no VM accepted the job")
}

// errNoAnswer means that a VM said nothing in time.
var errNoAnswer = errors.New("no answer")

// handIn hands a job to a VM and returns what the VM said of it in time.
func (f *fleet) handIn(v *vm, id string, items []batchkeeper.Item) error {
	s := batchkeeper.Submission{
		ID: id, Route: "r", Host: "h", Items: items, Retention: 2 * time.Minute, CompletionTarget: 18 * time.Second,
		MaxTokens: quotaTokens,
	}
	answer := make(chan error, 1)
	f.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), submitTime)
		defer cancel()
		stored, own, err := v.keeper.Submit(ctx, s)
		if err == nil && own {
			v.runner.Adopt(stored, items, nil)
		}
		answer <- err
	})
	select {
	case err := <-answer:
		return err
	case <-time.After(submitTime):
		return errNoAnswer
	}
}

// read reads the job and checks that what was read before has stayed.
func (c *caller) read() {
	page, err := c.reader.Results(c.f.t.Context(), "j", 0)
	qt.Assert(c.f.t, err, qt.IsNil)
	qt.Check(c.f.t, page.Total, qt.Equals, len(crashJob))
	qt.Assert(c.f.t, len(page.Results) >= len(c.results), qt.IsTrue, qt.Commentf("results went away"))
	for i, before := range c.results {
		qt.Check(c.f.t, page.Results[i], qt.DeepEquals, before)
	}
	c.results = page.Results
}

// expectEnded checks what the job came to, after troubles.
func (c *caller) expectEnded(troubles map[int]trouble) {
	t := c.f.t
	got := map[string]string{}
	for _, r := range c.results {
		qt.Check(t, got[r.Item], qt.Equals, "", qt.Commentf("%s is listed twice", r.Item))
		got[r.Item] = "given up"
		if r.Done {
			got[r.Item] = string(r.Output)
		}
	}
	qt.Check(t, got, qt.DeepEquals, map[string]string{
		"normal": wholeText("normal", normalEvents), longItem: wholeText(longItem, longEvents),
		"fails": "given up", "impossible": "given up",
	})
	runs := map[string]int{}
	for _, run := range c.f.runs() {
		runs[run.ID]++
	}
	expectBetween(t, runs["fails"], expectedFailures, min(mostFailures, expectedFailures+unkept(troubles)))
	expectBetween(t, runs["impossible"], 1, mostImpossible)
	records, err := c.reader.Scan(t.Context())
	qt.Assert(t, err, qt.IsNil)
	for _, record := range records {
		qt.Check(t, record.Open(), qt.IsFalse)
		qt.Check(t, record.Tokens, qt.Equals, int64(0), qt.Commentf("the quota is given back"))
	}
}

// unkept returns how many failures VMs may have seen that the next owner doesn't
// know of: one that a lost VM was about to keep and the one after it, or all of
// them if the VM goes on with the job while another takes it over.
func unkept(troubles map[int]trouble) int {
	failures := 0
	for _, kind := range troubles {
		if kind == suspended || kind == turnedAway {
			failures += expectedFailures
			continue
		}
		failures += 2
	}
	return failures
}

func wholeText(item string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, standin.EventData(item, n))
	}
	return strings.Join(lines, "\n")
}

func expectBetween(t *testing.T, got, least, most int) {
	t.Helper()
	qt.Check(t, got >= least && got <= most, qt.IsTrue, qt.Commentf("%d, not between %d and %d", got, least, most))
}

// expectJobSurvives plays a job on two VMs, the first of which meets troubles at
// some of its calls of the store. It returns the number of calls that it made.
func expectJobSurvives(t *testing.T, troubles map[int]trouble) int {
	t.Helper()
	calls := 0
	inFleet(t, 2, crashPlan, func(f *fleet) {
		a, end := f.startTroubled(troubles)
		b := f.start("b")
		defer b.stop()
		c := &caller{f: f, reader: batchkeeper.New(f.store, batchkeeper.Owner{VM: "reader"}, 64<<10, slog.New(slog.DiscardHandler))}
		c.submit(a, b)
		for began := time.Now(); time.Since(began) < settleTime && len(c.results) < len(crashJob); {
			time.Sleep(500 * time.Millisecond)
			c.read()
		}
		time.Sleep(suspendedTime) // what is late or wakes up late must change nothing
		c.read()
		c.expectEnded(troubles)
		calls = end()
	})
	return calls
}

// startTroubled starts the VM that meets troubles. The function that it returns
// ends it, and returns how many calls of the store it has made.
func (f *fleet) startTroubled(troubles map[int]trouble) (v *vm, end func() int) {
	l := &line{store: f.store, troubles: troubles}
	crashed, ended := make(chan struct{}), make(chan struct{})
	l.crash = func() { close(crashed) }
	l.setAlive = func(alive bool) { f.setAlive(batchkeeper.Owner{VM: "a", Boot: 1}, alive) }
	v = f.startOn("a", 1, l)
	f.group.Go(func() { f.replaceCrashed(v, crashed, ended) })
	return v, func() int {
		close(ended)
		f.group.Wait()
		return l.calls
	}
}

// replaceCrashed starts a new process in place of a VM that crashes, and ends
// what runs of the two.
func (f *fleet) replaceCrashed(v *vm, crashed, ended chan struct{}) {
	select {
	case <-ended:
		v.stop()
		return
	case <-crashed:
	}
	v.stop()
	time.Sleep(restartAfterCrash)
	again := f.startOn(v.owner.VM, v.owner.Boot+1, f.store)
	<-ended
	again.stop()
}

// expectAtEachCall plays a test with each kind of trouble at each call that the
// first VM makes of the store, until there are no more calls.
func expectAtEachCall(t *testing.T, without trouble, test func(t *testing.T, troubles map[int]trouble) (calls int)) {
	t.Helper()
	for kind := crashBefore; int(kind) <= troubleKinds; kind++ {
		if kind == without {
			continue
		}
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			for n := 1; n <= callsLooked; n++ {
				calls := test(t, map[int]trouble{n: kind})
				if t.Failed() {
					t.Fatalf("at call %d of %d", n, calls)
				}
				if calls < n {
					return
				}
			}
		})
	}
}

// When the VM accepts the job, starts, looks, keeps progress and commits.
func TestAJobSurvivesTroubleAtEveryCallOfTheStore(t *testing.T) {
	expectAtEachCall(t, none, expectJobSurvives)
}

// Series of troubles. A seed that fails is kept as a case of its own.
func TestAJobSurvivesSeriesOfTroubles(t *testing.T) {
	const seeds, most = 60, 5
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		troubles := map[int]trouble{}
		for range 1 + random.IntN(most) {
			troubles[1+random.IntN(callsLooked)] = trouble(1 + random.IntN(troubleKinds))
		}
		t.Run(fmt.Sprint(seed, troubles), func(t *testing.T) {
			t.Parallel()
			expectJobSurvives(t, troubles)
		})
	}
}

// The same trouble at several calls in a row, as an outage is for one VM.
func TestAJobSurvivesTroubleThatLasts(t *testing.T) {
	const row, step = 6, 3
	for kind := answerLost; int(kind) <= troubleKinds; kind++ {
		for from := 1; from < callsLooked; from += step {
			troubles := map[int]trouble{}
			for n := range row {
				troubles[from+n] = kind
			}
			t.Run(fmt.Sprint(kind, " from ", from), func(t *testing.T) {
				t.Parallel()
				expectJobSurvives(t, troubles)
			})
		}
	}
}

// expectCancelHolds cancels a running job through the second VM, and then checks
// that nothing of it runs any more, whatever the first VM meets.
func expectCancelHolds(t *testing.T, troubles map[int]trouble) int {
	t.Helper()
	calls := 0
	inFleet(t, 2, endless, func(f *fleet) {
		a, end := f.startTroubled(troubles)
		b := f.start("b")
		defer b.stop()
		c := &caller{f: f}
		c.submit(a, b)
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, b.keeper.Cancel(f.t.Context(), "j"), qt.IsNil)
		a.runner.Cancelled("j") // VMs that the store turns away hear of it from others
		b.runner.Cancelled("j")
		time.Sleep(cancelTime)
		before := f.runs()
		for _, u := range f.upstreams {
			qt.Check(t, u.Running(), qt.Equals, 0)
		}
		time.Sleep(settleTime)
		qt.Check(t, f.runs(), qt.HasLen, len(before))
		calls = end()
	})
	return calls
}

// cancelTime is how long items of a cancelled job may still be started.
const cancelTime = 3 * time.Second

func endless(string, *http.Request) standin.Plan {
	return standin.Plan{Events: 1000, Gap: 100 * time.Millisecond}
}

// A VM that is suspended can't hear of the cancel and isn't looked at here.
func TestACancelHoldsWhateverTheOwnerMeets(t *testing.T) {
	expectAtEachCall(t, suspended, expectCancelHolds)
}

// expectQuotaHolds hands jobs to both VMs at once, each a third of what may
// wait, and checks that no more are accepted than fit, that what was refused is
// not kept, and that what was accepted is.
func expectQuotaHolds(t *testing.T, troubles map[int]trouble) int {
	t.Helper()
	const jobs, tokens = 8, 30
	calls := 0
	inFleet(t, 2, endless, func(f *fleet) {
		a, end := f.startTroubled(troubles)
		vms := []*vm{a, f.start("b")}
		defer vms[1].stop()
		answers := make([]error, jobs)
		var callers sync.WaitGroup
		for n := range jobs {
			vms[n%2].keeper.SetVMCount(len(vms))
			callers.Go(func() {
				time.Sleep(time.Duration(n) * 150 * time.Millisecond)
				id := fmt.Sprint("j", n)
				items := []batchkeeper.Item{{ID: id + "-item", URI: "/b/x", Header: http.Header{}, Tokens: tokens}}
				answers[n] = f.handIn(vms[n%2], id, items)
			})
		}
		callers.Wait()
		time.Sleep(suspendedTime) // what takes effect late has done so
		f.expectQuotaKept(answers, tokens)
		calls = end()
	})
	return calls
}

// expectQuotaKept compares what callers were told with what the store has.
func (f *fleet) expectQuotaKept(answers []error, tokens int64) {
	reader := batchkeeper.New(f.store, batchkeeper.Owner{VM: "reader"}, 64<<10, slog.New(slog.DiscardHandler))
	records, err := reader.Scan(f.t.Context())
	qt.Assert(f.t, err, qt.IsNil)
	kept := map[string]bool{}
	for _, record := range records {
		kept[record.ID] = true
	}
	qt.Check(f.t, int64(len(kept))*tokens <= quotaTokens, qt.IsTrue, qt.Commentf("%d jobs are kept", len(kept)))
	accepted := 0
	for n, answer := range answers {
		id := fmt.Sprint("j", n)
		switch {
		case answer == nil:
			accepted++
			qt.Check(f.t, kept[id], qt.IsTrue, qt.Commentf("%s was accepted", id))
		case errors.Is(answer, batchkeeper.ErrOverQuota), errors.Is(answer, batchkeeper.ErrNotWritten):
			qt.Check(f.t, kept[id], qt.IsFalse, qt.Commentf("%s was refused: %v", id, answer))
		}
	}
	qt.Check(f.t, accepted > 0, qt.IsTrue, qt.Commentf("%v", answers))
}

func TestTheQuotaHoldsWhateverAVMMeets(t *testing.T) {
	expectAtEachCall(t, none, expectQuotaHolds)
}
