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
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// noJobs serves no jobs.
type noJobs struct{}

func (noJobs) IsJobCall(*http.Request) bool { return false }

func (noJobs) Serve(w http.ResponseWriter, _ *http.Request, _ *router.Route) {
	w.WriteHeader(http.StatusNotImplemented)
}

// vm is a gateway with upstreams, under a clock of its own.
type vm struct {
	t         *testing.T
	gateway   *gateway.Gateway
	placer    *placer.Placer
	memory    *rationer.Rationer
	upstreams []*standin.Upstream
	network   *standin.Network
	client    *http.Client
}

// inVM runs a test on a gateway before upstreams of one slot each, which do as
// planned.
func inVM(t *testing.T, plans []standin.Plan, test func(v *vm)) {
	t.Helper()
	inStartingVM(t, plans, func(v *vm) {
		v.open()
		test(v)
	})
}

// open lets a gateway that has just started serve.
func (v *vm) open() {
	v.gateway.SetTable(table())
	v.gateway.Open()
}

// inStartingVM is inVM, on a gateway that knows no configuration yet.
func inStartingVM(t *testing.T, plans []standin.Plan, test func(v *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := &vm{t: t, network: standin.NewNetwork(), placer: placer.New("vm", "d", map[string]string{"d": "r"})}
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
		sender := forwarder.New(platform.Codec{}.AnswerID, forwarder.WithDial(v.network.Dial))
		defer sender.Close()
		v.gateway = gateway.New(platform.Codec{}, courier.New(sender, v.placer, platform.Codec{}, slog.New(slog.DiscardHandler)), v.placer, quarantiner.New(), noJobs{},
			v.memory, counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler))
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

// call sends a request and returns the status, the body, and whether the answer
// was whole.
func (v *vm) call(path string, deadline time.Duration) (status int, body string, whole bool) {
	v.t.Helper()
	request, err := standin.NewRequest(http.MethodPost, "http://vm:1"+path, "h", "id", deadline)
	qt.Assert(v.t, err, qt.IsNil)
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

// expectCall calls and compares the status, the time until the answer and the
// number of runs.
func expectCall(
	t *testing.T, path string, plans []standin.Plan, wantStatus int, wantTook time.Duration, wantRuns int,
	deadline time.Duration,
) {
	t.Helper()
	inVM(t, plans, func(v *vm) {
		began := time.Now()
		status, _, whole := v.call(path, deadline)
		qt.Check(v.t, status, qt.Equals, wantStatus)
		qt.Check(v.t, whole, qt.IsTrue)
		qt.Check(v.t, time.Since(began), qt.Equals, wantTook)
		qt.Check(v.t, v.runs(), qt.Equals, wantRuns)
	})
}

func plans(p ...standin.Plan) []standin.Plan { return p }

var (
	sound   = standin.Plan{Body: "ok"}
	refuses = standin.Plan{NotRun: true}
	fails   = standin.Plan{Status: http.StatusInternalServerError}
	silent  = standin.Plan{NeverAnswer: true}
)

func TestWhatMayBeRepeated(t *testing.T) {
	t.Run("a refusal never ran", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(refuses, refuses, sound), http.StatusOK, 0, 1, 0)
	})
	t.Run("all refuse", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(refuses, refuses), http.StatusServiceUnavailable, 0, 0, 0)
	})
	t.Run("an unsafe call that failed is not repeated", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(fails), http.StatusInternalServerError, 0, 1, 0)
	})
	t.Run("an unmarked refusal may have run", func(t *testing.T) {
		busy := standin.Plan{Status: http.StatusServiceUnavailable}
		expectCall(t, "/unsafe/x", plans(busy), http.StatusBadGateway, 0, 1, 0)
		expectCall(t, "/safe/x", plans(busy, busy), http.StatusBadGateway, 0, 2, 0)
	})
	t.Run("a safe call that failed is", func(t *testing.T) {
		expectCall(t, "/safe/x", plans(fails, fails, fails), http.StatusInternalServerError, 0, 2, 0)
	})
	t.Run("no upstream", func(t *testing.T) {
		expectCall(t, "/safe/x", nil, http.StatusServiceUnavailable, 0, 0, 0)
	})
}

func TestFinalAnswersComeInTime(t *testing.T) {
	t.Run("the route's timeout", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(silent), http.StatusGatewayTimeout, 2*time.Second, 1, 0)
	})
	t.Run("the caller's deadline", func(t *testing.T) {
		expectCall(t, "/unsafe/x", plans(silent), http.StatusGatewayTimeout, time.Second, 1, time.Second)
	})
	t.Run("a stream before its first event", func(t *testing.T) {
		expectCall(t, "/stream/x", plans(silent), http.StatusGatewayTimeout, 2*time.Second, 1, 0)
	})
}

// expectStream calls and compares the body and the number of runs.
func expectStream(t *testing.T, path string, plans []standin.Plan, wantEvents int, wantWhole bool, wantRuns int) {
	t.Helper()
	inVM(t, plans, func(v *vm) {
		status, body, whole := v.call(path, 0)
		qt.Check(v.t, status, qt.Equals, http.StatusOK)
		qt.Check(v.t, whole, qt.Equals, wantWhole)
		var want strings.Builder
		for n := 1; n <= wantEvents; n++ {
			want.WriteString(standin.EventText("id", n))
		}
		qt.Check(v.t, body, qt.Equals, want.String())
		qt.Check(v.t, v.runs(), qt.Equals, wantRuns)
	})
}

func TestStreams(t *testing.T) {
	whole := standin.Plan{Events: 5, Gap: 10 * time.Millisecond}
	cut := standin.Plan{Events: 5, Gap: 10 * time.Millisecond, BreakAfter: 2}
	t.Run("whole", func(t *testing.T) { expectStream(t, "/stream/x", plans(whole), 5, true, 1) })
	t.Run("a cut one must not look whole", func(t *testing.T) { expectStream(t, "/stream/x", plans(cut, cut), 2, false, 1) })
	t.Run("one that may be resumed goes on", func(t *testing.T) { expectStream(t, "/resume/x", plans(cut, cut), 4, false, 2) })
	t.Run("one that lasts longer than its route allows", func(t *testing.T) {
		expectStream(t, "/stream/x", plans(standin.Plan{Events: 50, Gap: 300 * time.Millisecond}), 6, false, 1)
	})
}

func TestACallersCloseEndsTheRun(t *testing.T) {
	inVM(t, plans(standin.Plan{Events: 1000, Gap: 10 * time.Millisecond}), func(v *vm) {
		v.client.Timeout = 100 * time.Millisecond
		_, _, whole := v.call("/stream/x", 0)
		qt.Check(v.t, whole, qt.IsFalse)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		qt.Check(v.t, v.upstreams[0].Running(), qt.Equals, 0)
		qt.Check(v.t, v.placer.Report(), qt.HasLen, 0)
	})
}

func TestARequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	crash := standin.Plan{Events: 5, BreakAfter: 1}
	inVM(t, plans(crash, crash), func(v *vm) {
		for range quarantiner.MaxStrikes {
			_, _, whole := v.call("/stream/x", 0)
			qt.Check(v.t, whole, qt.IsFalse)
			time.Sleep(5 * time.Second)
		}
		for range 3 {
			status, _, _ := v.call("/stream/x", 0)
			qt.Check(v.t, status, qt.Equals, http.StatusBadGateway)
		}
		qt.Check(v.t, v.runs(), qt.Equals, quarantiner.MaxStrikes)
	})
}

func TestAVMWithoutAConfigurationSaysSo(t *testing.T) {
	inVM(t, plans(sound), func(v *vm) {
		v.gateway.SetTable(nil)
		status, _, _ := v.call("/safe/x", 0)
		qt.Check(v.t, status, qt.Equals, http.StatusServiceUnavailable)
		v.gateway.SetTable(table())
		status, _, _ = v.call("/none/x", 0)
		qt.Check(v.t, status, qt.Equals, http.StatusNotFound)
	})
}

// An upstream that answers every request with an error at once is always free,
// and would draw the traffic of the others.
func TestAnUpstreamThatFailsEveryRequestDrawsNoTraffic(t *testing.T) {
	const requests, gap, most = 100, 20 * time.Millisecond, 8
	busy := standin.Plan{Body: "ok", Gap: 50 * time.Millisecond}
	inVM(t, plans(fails, busy, busy, busy, busy), func(v *vm) {
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
		qt.Check(v.t, failed.Load() <= most, qt.IsTrue, qt.Commentf("%d of %d requests failed", failed.Load(), requests))
	})
}

// expectLong calls for a long answer and compares what came of it.
func expectLong(t *testing.T, path string, plan standin.Plan, wantWhole bool) {
	t.Helper()
	inVM(t, plans(plan, plan), func(v *vm) {
		status, body, whole := v.call(path, 0)
		qt.Check(v.t, status, qt.Equals, http.StatusOK)
		qt.Check(v.t, whole, qt.Equals, wantWhole)
		if wantWhole {
			qt.Check(v.t, len(body), qt.Equals, plan.BodyBytes)
		}
		qt.Check(v.t, v.runs(), qt.Equals, 1, qt.Commentf("its head was handed on, so it can't be replaced"))
	})
}

func TestLongPlainAnswersAreHandedOnAsTheyCome(t *testing.T) {
	t.Run("whole", func(t *testing.T) { expectLong(t, "/safe/x", standin.Plan{BodyBytes: 20 << 20}, true) })
	t.Run("a cut one must not look whole", func(t *testing.T) {
		expectLong(t, "/safe/x", standin.Plan{BodyBytes: 9 << 20, BreakBody: true}, false)
	})
	t.Run("a short one that is cut is replaced", func(t *testing.T) {
		short := standin.Plan{BodyBytes: 1 << 10, BreakBody: true}
		expectCall(t, "/safe/x", plans(short, short), http.StatusBadGateway, 0, 2, 0)
	})
}

func TestStreamsThatStallEnd(t *testing.T) {
	trickles := standin.Plan{Events: 3, Gap: 10 * time.Millisecond, CommentInterval: 200 * time.Millisecond}
	t.Run("one that sends a byte now and then", func(t *testing.T) {
		inVM(t, plans(trickles), func(v *vm) {
			v.gateway.SetTable(untimed())
			began := time.Now()
			_, _, whole := v.call("/stream/x", 0)
			qt.Check(v.t, whole, qt.IsFalse)
			qt.Check(v.t, time.Since(began) < time.Minute, qt.IsTrue)
		})
	})
	t.Run("a slow but sound one goes on", func(t *testing.T) {
		inVM(t, plans(standin.Plan{Events: 40, Gap: 5 * time.Second}), func(v *vm) {
			v.gateway.SetTable(untimed())
			_, body, whole := v.call("/stream/x", 0)
			qt.Check(v.t, whole, qt.IsTrue)
			qt.Check(v.t, strings.Count(body, "data:"), qt.Equals, 40)
		})
	})
	t.Run("a slow caller is not the upstream's fault", func(t *testing.T) {
		inVM(t, plans(standin.Plan{Events: 3, Gap: time.Second, CommentBytes: 1<<20 - 100}), func(v *vm) {
			v.gateway.SetTable(untimed())
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
		inVM(t, plans(trickles, trickles), func(v *vm) {
			v.gateway.SetTable(untimed())
			_, _, whole := v.call("/resume/x", 0)
			qt.Check(v.t, whole, qt.IsFalse)
			qt.Check(v.t, v.runs(), qt.Equals, 2)
		})
	})
}

// untimed is a configuration whose routes have no timeout.
func untimed() *router.Table {
	configuration := router.Configuration{Version: 2}
	for _, route := range routes() {
		route.Timeout = 0
		configuration.Routes = append(configuration.Routes, route)
	}
	return router.NewTable(configuration)
}

// expectRoom sends bodies while the VM's memory has so much left, and compares
// the status and that all of the memory is given back.
func expectRoom(t *testing.T, left int64, chunked bool, want int) {
	t.Helper()
	inVM(t, plans(sound), func(v *vm) {
		taken := v.memory.NewReservation()
		qt.Assert(v.t, taken.Grow(v.memory.Available()-left), qt.IsTrue)
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
		qt.Check(v.t, v.memory.Available(), qt.Equals, left)
	})
}

func TestBodiesAreHeldWithinTheVMsMemory(t *testing.T) {
	t.Run("with a length", func(t *testing.T) { expectRoom(t, 4<<20, false, http.StatusOK) })
	t.Run("without a length", func(t *testing.T) { expectRoom(t, 4<<20, true, http.StatusOK) })
	t.Run("refused at once", func(t *testing.T) { expectRoom(t, 512<<10, false, http.StatusServiceUnavailable) })
	t.Run("refused when it has grown too long", func(t *testing.T) {
		expectRoom(t, 512<<10, true, http.StatusServiceUnavailable)
	})
}

func TestAServerThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	leaves := standin.Plan{Body: "ok", Draining: true}
	refusesAndLeaves := standin.Plan{NotRun: true, Draining: true}
	for name, plan := range map[string]standin.Plan{"in an answer": leaves, "in a refusal": refusesAndLeaves} {
		t.Run(name, func(t *testing.T) {
			inVM(t, plans(plan, sound, sound), func(v *vm) {
				for range 20 {
					status, _, _ := v.call("/safe/x", 0)
					qt.Assert(v.t, status, qt.Equals, http.StatusOK)
				}
				qt.Check(v.t, len(v.upstreams[0].Runs()) <= 1, qt.IsTrue)
			})
		})
	}
}
