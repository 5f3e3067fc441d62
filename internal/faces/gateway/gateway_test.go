package gateway_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/online/versionkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// noJobs serves no jobs.
type noJobs struct{}

func (noJobs) IsJobCall(*http.Request) bool { return false }

func (noJobs) Serve(w http.ResponseWriter, _ *http.Request, _ gateway.JobContext) {
	w.WriteHeader(http.StatusNotImplemented)
}

// vm is a gateway and its upstreams on a simulated network.
type vm struct {
	t         *testing.T
	gateway   *gateway.Gateway
	placer    *placer.Placer
	memory    *rationer.Rationer
	store     *rowemulator.Store
	versions  *versionkeeper.Keeper
	upstreams []*standin.Upstream
	network   *standin.Network
	client    *http.Client
}

// withVM runs a test, under synctest's clock, on a configured gateway with one upstream
// of one slot for each plan.
func withVM(t *testing.T, plans []standin.Plan, test func(v *vm)) {
	t.Helper()
	withStartingVM(t, plans, func(v *vm) {
		v.open()
		test(v)
	})
}

// passOnSlot passes a released slot on to a waiting request.
func (v *vm) passOnSlot(change placer.Change) {
	if change.Released != "" {
		v.gateway.SlotReleased(change.Released)
	}
}

// open gives the gateway its first configuration and opens it.
func (v *vm) open() {
	v.gateway.SetTable(table())
	v.gateway.Open()
}

// withStartingVM is withVM on a gateway that has no configuration yet.
func withStartingVM(t *testing.T, plans []standin.Plan, test func(v *vm), options ...gateway.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := &vm{t: t, network: standin.NewNetwork()}
		v.placer = placer.New("vm", "d", map[string]string{"d": "r"}, placer.WithOnChange(v.passOnSlot))
		var list []placer.Upstream
		for n, plan := range plans {
			id := fmt.Sprint("u", n)
			u := standin.NewUpstream(id, 1, func(*http.Request) standin.Plan { return plan })
			defer v.network.Serve(id+":1", u)()
			v.upstreams = append(v.upstreams, u)
			list = append(list, placer.Upstream{ID: id, Service: "s", Address: id + ":1", Domain: "d", Sequences: 1})
		}
		v.placer.SetUpstreams(list)
		v.memory = rationer.New(64 << 20)
		tasks := supervisor.New(counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler))
		defer tasks.Wait()
		v.store = rowemulator.New()
		v.versions = versionkeeper.New("vm", v.store, tasks, slog.New(slog.DiscardHandler))
		sender := forwarder.New(platform.Codec{}.AnswerID, forwarder.WithDial(v.network.Dial))
		defer sender.Close()
		v.gateway = gateway.New(platform.Codec{},
			courier.New(sender, v.placer, platform.Codec{}, slog.New(slog.DiscardHandler)),
			v.placer, crashanalyzer.New(), v.versions, noJobs{}, v.memory, counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler),
			options...)
		defer v.network.Serve("vm:1", v.gateway)()
		v.client = &http.Client{Transport: &http.Transport{DialContext: v.network.Dial, DisableKeepAlives: true}}
		test(v)
	})
}

func table() *router.Table {
	return router.NewTable(router.Configuration{Version: 1, Routes: routes()})
}

// routes returns one route of each kind.
func routes() []router.Route {
	var routes []router.Route
	for _, kind := range []router.Kind{router.KindSafe, router.KindUnsafe, router.KindStream} {
		routes = append(routes, router.Route{
			Name: kind.String(), Host: "h", Prefix: "/" + kind.String() + "/", Kind: kind, MaxAttempts: 2,
			Timeout: 2 * time.Second, Shares: []router.Share{{Service: "s", Weight: 1}},
		})
	}
	resume := routes[2]
	resume.Name, resume.Prefix, resume.CanResume = "resume", "/resume/", true
	return append(routes, resume)
}

// call sends a request and returns the status, the body, and whether the answer was
// complete. The status is 0 if there was no answer.
func (v *vm) call(path string, deadline time.Duration) (status int, body string, complete bool) {
	v.t.Helper()
	request, err := standin.NewRequest(http.MethodPost, "http://vm:1"+path, "h", "id", deadline)
	qt.Assert(v.t, err, qt.IsNil)
	return v.send(request)
}

// send returns the status, the body, and whether the answer was complete.
func (v *vm) send(request *http.Request) (status int, body string, complete bool) {
	response, err := v.client.Do(request)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err == nil
}

func (v *vm) runs() int {
	n := 0
	for _, u := range v.upstreams {
		n += len(u.Runs())
	}
	return n
}

// expectCall sends a request and checks the status, the time until the complete answer,
// and the number of runs on upstreams.
func expectCall(
	t *testing.T, path string, plans []standin.Plan, wantStatus int, wantTook time.Duration, wantRuns int,
	deadline time.Duration,
) {
	t.Helper()
	withVM(t, plans, func(v *vm) {
		start := time.Now()
		status, _, complete := v.call(path, deadline)
		qt.Check(v.t, status, qt.Equals, wantStatus)
		qt.Check(v.t, complete, qt.IsTrue)
		qt.Check(v.t, time.Since(start), qt.Equals, wantTook)
		qt.Check(v.t, v.runs(), qt.Equals, wantRuns)
	})
}

func plans(p ...standin.Plan) []standin.Plan { return p }

var (
	healthy      = standin.Plan{Body: "ok"}
	rejecting    = standin.Plan{NotRun: true}
	failing      = standin.Plan{Status: http.StatusInternalServerError}
	unresponsive = standin.Plan{NeverAnswer: true}
)

func TestRetries(t *testing.T) {
	t.Run("a refusal never ran", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(rejecting, rejecting, healthy), http.StatusOK, 0, 1, 0)
	})
	t.Run("all refuse", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(rejecting, rejecting), http.StatusServiceUnavailable, 0, 0, 0)
	})
	t.Run("an unsafe call that failed is not repeated", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(failing), http.StatusInternalServerError, 0, 1, 0)
	})
	t.Run("an unmarked refusal may have run", func(t *testing.T) {
		busy := standin.Plan{Status: http.StatusServiceUnavailable}
		expectCall(t, "/unsafe/x", plans(busy), http.StatusBadGateway, 0, 1, 0)
		expectCall(t, "/safe/x", plans(busy, busy), http.StatusBadGateway, 0, 2, 0)
	})
	t.Run("a safe call that failed is", func(t *testing.T) {
		expectCall(t, "/safe/x", plans(failing, failing, failing), http.StatusInternalServerError, 0, 2, 0)
	})
	t.Run("no upstream", func(t *testing.T) {
		expectCall(t, "/safe/x", nil, http.StatusServiceUnavailable, 0, 0, 0)
	})
}

func TestFinalAnswersMeetTheDeadline(t *testing.T) {
	t.Run("the route's timeout", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(unresponsive), http.StatusGatewayTimeout, 2*time.Second, 1, 0)
	})
	t.Run("the caller's deadline", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(unresponsive), http.StatusGatewayTimeout, time.Second, 1, time.Second)
	})
	t.Run("a stream before its first event", func(t *testing.T) {
		expectCall(t, "/stream/x", plans(unresponsive), http.StatusGatewayTimeout, 2*time.Second, 1, 0)
	})
}

// expectStream calls a stream and checks its events, its completeness, and the number of
// runs on upstreams.
func expectStream(t *testing.T, path string, plans []standin.Plan, wantEvents int, wantComplete bool, wantRuns int) {
	t.Helper()
	withVM(t, plans, func(v *vm) {
		status, body, complete := v.call(path, 0)
		qt.Check(v.t, status, qt.Equals, http.StatusOK)
		qt.Check(v.t, complete, qt.Equals, wantComplete)
		var want strings.Builder
		for n := 1; n <= wantEvents; n++ {
			want.WriteString(standin.EventText("id", n))
		}
		qt.Check(v.t, body, qt.Equals, want.String())
		qt.Check(v.t, v.runs(), qt.Equals, wantRuns)
	})
}

func TestStreams(t *testing.T) {
	complete := standin.Plan{Events: 5, Gap: 10 * time.Millisecond}
	truncated := standin.Plan{Events: 5, Gap: 10 * time.Millisecond, BreakAfter: 2}
	t.Run("whole", func(t *testing.T) { expectStream(t, "/stream/x", plans(complete), 5, true, 1) })
	t.Run("a cut one must not look whole", func(t *testing.T) {
		expectStream(t, "/stream/x", plans(truncated, truncated), 2, false, 1)
	})
	t.Run("one that may be resumed goes on", func(t *testing.T) {
		expectStream(t, "/resume/x", plans(truncated, truncated), 4, false, 2)
	})
	t.Run("one without length or chunks", func(t *testing.T) {
		unframed := complete
		unframed.Unframed = true
		expectStream(t, "/stream/x", plans(unframed), 5, true, 1)
		unframed.BreakAfter = 2
		expectStream(t, "/stream/x", plans(unframed), 2, false, 1)
		expectStream(t, "/resume/x", plans(unframed, unframed), 4, false, 2)
	})
	t.Run("one that lasts longer than its route allows", func(t *testing.T) {
		expectStream(t, "/stream/x", plans(standin.Plan{Events: 50, Gap: 300 * time.Millisecond}), 6, false, 1)
	})
}

func TestACallersDisconnectCancelsTheRun(t *testing.T) {
	withVM(t, plans(standin.Plan{Events: 1000, Gap: 10 * time.Millisecond}), func(v *vm) {
		v.client.Timeout = 100 * time.Millisecond
		_, _, complete := v.call("/stream/x", 0)
		qt.Check(v.t, complete, qt.IsFalse)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		qt.Check(v.t, v.upstreams[0].Running(), qt.Equals, 0)
		qt.Check(v.t, v.placer.Report(), qt.HasLen, 0)
	})
}

func TestAGatewayWithoutAConfigurationRejectsRequests(t *testing.T) {
	withVM(t, plans(healthy), func(v *vm) {
		v.gateway.SetTable(nil)
		status, _, _ := v.call("/safe/x", 0)
		qt.Check(v.t, status, qt.Equals, http.StatusServiceUnavailable)
		v.gateway.SetTable(table())
		status, _, _ = v.call("/none/x", 0)
		qt.Check(v.t, status, qt.Equals, http.StatusNotFound)
	})
}

// An upstream that answers every request at once with an error always has free slots.
// Without a penalty for failures it would attract the traffic of the others.
func TestAnUpstreamThatFailsEveryRequestAttractsNoTraffic(t *testing.T) {
	const requests, gap, limit = 100, 20 * time.Millisecond, 8
	busy := standin.Plan{Body: "ok", Gap: 50 * time.Millisecond}
	withVM(t, plans(failing, busy, busy, busy, busy), func(v *vm) {
		var callers sync.WaitGroup
		var failed atomic.Int32
		for range requests {
			callers.Go(func() {
				if status, _, _ := v.call("/unsafe/x", 0); status != http.StatusOK {
					failed.Add(1)
				}
			})
			time.Sleep(gap)
		}
		callers.Wait()
		qt.Check(v.t, failed.Load() <= limit, qt.IsTrue, qt.Commentf("%d of %d requests failed", failed.Load(), requests))
	})
}

// expectLongAnswer requests a long answer and checks its length and completeness.
func expectLongAnswer(t *testing.T, path string, plan standin.Plan, wantComplete bool) {
	t.Helper()
	withVM(t, plans(plan, plan), func(v *vm) {
		status, body, complete := v.call(path, 0)
		qt.Check(v.t, status, qt.Equals, http.StatusOK)
		qt.Check(v.t, complete, qt.Equals, wantComplete)
		if wantComplete {
			qt.Check(v.t, len(body), qt.Equals, plan.BodyBytes)
		}
		qt.Check(v.t, v.runs(), qt.Equals, 1, qt.Commentf("no failover after the head was sent"))
	})
}

func TestLongPlainAnswersAreStreamed(t *testing.T) {
	t.Run("whole", func(t *testing.T) { expectLongAnswer(t, "/safe/x", standin.Plan{BodyBytes: 20 << 20}, true) })
	t.Run("a cut one must not look whole", func(t *testing.T) {
		expectLongAnswer(t, "/safe/x", standin.Plan{BodyBytes: 9 << 20, BreakBody: true}, false)
	})
	t.Run("a short one that is cut is replaced", func(t *testing.T) {
		short := standin.Plan{BodyBytes: 1 << 10, BreakBody: true}
		expectCall(t, "/safe/x", plans(short, short), http.StatusBadGateway, 0, 2, 0)
	})
}

func TestStalledStreamsEnd(t *testing.T) {
	stalling := standin.Plan{Events: 3, Gap: 10 * time.Millisecond, CommentInterval: 200 * time.Millisecond}
	t.Run("one that sends a byte now and then", func(t *testing.T) {
		withVM(t, plans(stalling), func(v *vm) {
			v.gateway.SetTable(tableWithoutTimeouts())
			start := time.Now()
			_, _, complete := v.call("/stream/x", 0)
			qt.Check(v.t, complete, qt.IsFalse)
			qt.Check(v.t, time.Since(start) < time.Minute, qt.IsTrue)
		})
	})
	t.Run("a slow but sound one goes on", func(t *testing.T) {
		withVM(t, plans(standin.Plan{Events: 40, Gap: 5 * time.Second}), func(v *vm) {
			v.gateway.SetTable(tableWithoutTimeouts())
			_, body, complete := v.call("/stream/x", 0)
			qt.Check(v.t, complete, qt.IsTrue)
			qt.Check(v.t, strings.Count(body, "data:"), qt.Equals, 40)
		})
	})
	t.Run("a slow caller is not the upstream's fault", func(t *testing.T) {
		withVM(t, plans(standin.Plan{Events: 3, Gap: time.Second, CommentBytes: 1<<20 - 100}), func(v *vm) {
			v.gateway.SetTable(tableWithoutTimeouts())
			request, err := standin.NewRequest(http.MethodPost, "http://vm:1/stream/x", "h", "id", 0)
			qt.Assert(v.t, err, qt.IsNil)
			response, err := v.client.Do(request)
			qt.Assert(v.t, err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			time.Sleep(3 * time.Minute)
			text, err := io.ReadAll(response.Body)
			qt.Check(v.t, err, qt.IsNil)
			qt.Check(v.t, strings.Count(string(text), "data:"), qt.Equals, 3)
		})
	})
	t.Run("one that may be resumed goes on elsewhere", func(t *testing.T) {
		withVM(t, plans(stalling, stalling), func(v *vm) {
			v.gateway.SetTable(tableWithoutTimeouts())
			_, _, complete := v.call("/resume/x", 0)
			qt.Check(v.t, complete, qt.IsFalse)
			qt.Check(v.t, v.runs(), qt.Equals, 2)
		})
	})
}

// tableWithoutTimeouts returns a configuration whose routes have no timeout.
func tableWithoutTimeouts() *router.Table {
	configuration := router.Configuration{Version: 2}
	for _, route := range routes() {
		route.Timeout = 0
		configuration.Routes = append(configuration.Routes, route)
	}
	return router.NewTable(configuration)
}

// expectWithMemory sends a body of 1 MiB while the given number of bytes of the memory
// budget is available. It checks the status, and that all memory is released.
func expectWithMemory(t *testing.T, available int64, chunked bool, want int) {
	t.Helper()
	withVM(t, plans(healthy), func(v *vm) {
		reserved := v.memory.NewReservation()
		qt.Assert(v.t, reserved.Grow(v.memory.Available()-available), qt.IsTrue)
		var body io.Reader = strings.NewReader(strings.Repeat("x", 1<<20))
		if chunked {
			body = io.MultiReader(body)
		}
		request, err := http.NewRequest(http.MethodPost, "http://vm:1/safe/x", body)
		qt.Assert(v.t, err, qt.IsNil)
		request.Host = "h"
		request.Header.Set("Request-Id", "id")
		response, err := v.client.Do(request)
		qt.Assert(v.t, err, qt.IsNil)
		_ = response.Body.Close()
		qt.Check(v.t, response.StatusCode, qt.Equals, want)
		if want == http.StatusServiceUnavailable {
			qt.Check(v.t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Check(v.t, v.runs(), qt.Equals, 0)
		}
		synctest.Wait()
		qt.Check(v.t, v.memory.Available(), qt.Equals, available)
	})
}

func TestRequestBodiesStayWithinTheMemoryBudget(t *testing.T) {
	t.Run("with a length", func(t *testing.T) { expectWithMemory(t, 4<<20, false, http.StatusOK) })
	t.Run("without a length", func(t *testing.T) { expectWithMemory(t, 4<<20, true, http.StatusOK) })
	t.Run("refused at once", func(t *testing.T) { expectWithMemory(t, 512<<10, false, http.StatusServiceUnavailable) })
	t.Run("refused when it has grown too long", func(t *testing.T) {
		expectWithMemory(t, 512<<10, true, http.StatusServiceUnavailable)
	})
}

func TestADrainingUpstreamGetsNoMoreRequests(t *testing.T) {
	draining := standin.Plan{Body: "ok", Draining: true}
	rejectingAndDraining := standin.Plan{NotRun: true, Draining: true}
	for name, plan := range map[string]standin.Plan{"in an answer": draining, "in a refusal": rejectingAndDraining} {
		t.Run(name, func(t *testing.T) {
			withVM(t, plans(plan, healthy, healthy), func(v *vm) {
				for range 20 {
					status, _, _ := v.call("/safe/x", 0)
					qt.Assert(v.t, status, qt.Equals, http.StatusOK)
				}
				qt.Check(v.t, len(v.upstreams[0].Runs()) <= 1, qt.IsTrue)
			})
		})
	}
}
