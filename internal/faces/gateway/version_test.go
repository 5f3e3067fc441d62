package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/versionkeeper"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// setVersions sets the software versions of the upstreams, in order.
func (v *vm) setVersions(versions ...string) {
	var list []placer.Upstream
	for n, version := range versions {
		id := v.upstreams[n].ID()
		list = append(list, placer.Upstream{
			ID: id, Service: "s", Address: id + ":1", Domain: "d", Sequences: 1, Version: version,
		})
	}
	v.placer.SetUpstreams(list)
}

// resume takes up the stream of request "first" after its second event.
func (v *vm) resume() (status int, body string, complete bool) {
	v.t.Helper()
	request, err := standin.NewRequest(http.MethodPost, "http://vm:1/resume/x", "h", "second", time.Second)
	qt.Assert(v.t, err, qt.IsNil)
	standin.SetResumed(request, "first", 2)
	return v.send(request)
}

// Guards against: a stream that breaks off is continued by an upstream of another software
// version, in the same answer.
func TestStreamThatBreaksOffGoesOnAtItsOwnVersion(t *testing.T) {
	expect := func(t *testing.T, versions []string, wantComplete bool) {
		t.Helper()
		plans := []standin.Plan{{Events: 5, BreakAfter: 2}, {Events: 5, BreakAfter: 2}, {Events: 5}, {Events: 5}}
		withVM(t, plans[:len(versions)], func(v *vm) {
			v.setVersions(versions...)
			_, _, complete := v.call("/resume/x", time.Second)
			qt.Check(v.t, complete, qt.Equals, wantComplete)
			ran := map[string]bool{}
			for n, u := range v.upstreams {
				if len(u.Runs()) > 0 {
					ran[versions[n]] = true
				}
			}
			qt.Check(v.t, ran, qt.HasLen, 1)
		})
	}
	// Whichever comes first, each version has an upstream that breaks off.
	t.Run("another upstream has it", func(t *testing.T) { expect(t, []string{"v1", "v2", "v1", "v2"}, true) })
	t.Run("no other upstream has it", func(t *testing.T) { expect(t, []string{"v1", "v2"}, false) })
}

func TestStreamReturnsToTheOnlyUpstreamOfItsVersion(t *testing.T) {
	withVM(t, []standin.Plan{{}, {}}, func(v *vm) {
		v.setVersions("v1", "v2")
		broken := false
		for _, u := range v.upstreams {
			u.SetPlanFunc(func(*http.Request) standin.Plan {
				plan := standin.Plan{Events: 5}
				if !broken {
					broken, plan.BreakAfter = true, 2
				}
				return plan
			})
		}
		_, body, complete := v.call("/resume/x", time.Second)
		qt.Check(v.t, complete, qt.IsTrue)
		qt.Check(v.t, strings.Count(body, "data:"), qt.Equals, 5)
		for _, u := range v.upstreams {
			qt.Check(v.t, len(u.Runs()) == 0 || len(u.Runs()) == 2, qt.IsTrue)
		}
	})
}

// Guards against: a caller takes up a stream at a VM that doesn't know it, for instance
// after all VMs have restarted, and another software version continues it.
func TestResumedStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	withVM(t, []standin.Plan{{Events: 5}, {Events: 5}}, func(v *vm) {
		v.setVersions("v1", "v2")
		v.versions.Begin(v.t.Context(), versionkeeper.Stream{ID: "first", Service: "s", Version: "v2"})
		for range 10 {
			status, body, complete := v.resume()
			qt.Check(v.t, status, qt.Equals, http.StatusOK)
			qt.Check(v.t, complete && strings.HasPrefix(body, standin.EventText("second", 3)), qt.IsTrue)
		}
		qt.Check(v.t, v.upstreams[0].Runs(), qt.HasLen, 0)
	})
}

func TestStreamThatCanNotGoOnIsRejectedAtOnce(t *testing.T) {
	expect := func(t *testing.T, begun string) {
		t.Helper()
		withVM(t, []standin.Plan{{Events: 5}}, func(v *vm) {
			v.setVersions("v1")
			if begun != "" {
				v.versions.Begin(v.t.Context(), versionkeeper.Stream{ID: "first", Service: "s", Version: begun})
			}
			start := time.Now()
			status, _, _ := v.resume()
			qt.Check(v.t, status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(v.t, time.Since(start) < 50*time.Millisecond, qt.IsTrue)
			qt.Check(v.t, v.runs(), qt.Equals, 0)
		})
	}
	t.Run("its version is gone", func(t *testing.T) { expect(t, "v0") })
	t.Run("its version is unknown", func(t *testing.T) { expect(t, "") })
}

// Guards against: a VM that has missed a release, whose list has upstreams of the old version only,
// goes on there with a stream that another VM began at the new one.
func TestStreamOfAVersionThatTheVMHasMissedIsRejected(t *testing.T) {
	withVM(t, []standin.Plan{{Events: 5}, {Events: 5}}, func(v *vm) {
		v.setVersions("v1", "v1")
		v.versions.Replace(nil)
		v.versions.Begin(v.t.Context(), versionkeeper.Stream{ID: "first", Service: "s", Version: "v1.1"})
		status, _, _ := v.resume()
		qt.Check(v.t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(v.t, v.runs(), qt.Equals, 0)
		v.setVersions("v1", "v1.1") // the list arrives
		status, _, complete := v.resume()
		qt.Check(v.t, status == http.StatusOK && complete, qt.IsTrue)
		qt.Check(v.t, v.upstreams[0].Runs(), qt.HasLen, 0)
	})
}
