package integration_test

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

var (
	kariakoo = domainSpec{region: "pwani", domain: "pwani-kariakoo", vms: 3, engines: 3}
	dodoma   = domainSpec{region: "dodoma", domain: "dodoma-makulu", vms: 2, engines: 2}
)

// An acknowledged job must complete even if the VM that accepted it is killed right
// after its acknowledgment.
func TestKillRightAfterAcknowledgement(t *testing.T) {
	const items, tokens = 120, 8
	f := newFleet(t, kariakoo)
	batch := f.submit(f.vms[0], items, tokens)
	f.vms[0].kill()
	qt.Check(t, f.waitEnded(f.vms[1], batch.ID).Status, qt.Equals, "completed")
	f.expectOneResultPerItem(f.vms[1:], batch.ID, items, tokens)
}

// A VM that owns chunks is killed and restarted. The job must still complete with
// exactly one result per item.
func TestKillVMWithItemsInProgress(t *testing.T) {
	const items, tokens = 200, 60
	f := newFleet(t, kariakoo)
	batch := f.submit(f.vms[0], items, tokens)
	owner := f.waitForOwner()
	owner.kill()
	owner.start()
	owner.waitReady(len(f.engines))
	qt.Check(t, f.waitEnded(f.vms[0], batch.ID).Status, qt.Equals, "completed")
	f.expectOneResultPerItem(f.vms, batch.ID, items, tokens)
}

// waitForOwner waits until one of the VMs but the first owns chunks, and returns it. Which VM gets chunks of a job is a matter of timing: some may get none before it ends.
func (f *fleet) waitForOwner() *process {
	f.t.Helper()
	var owner *process
	eventually(f.t, "a VM owns chunks", func() bool {
		for _, vm := range f.vms[1:] {
			if state, err := vm.state(); err == nil && state.Chunks > 0 {
				owner = vm
			}
		}
		return owner != nil
	})
	return owner
}

// A VM that is stopped while it owns chunks resumes after the job has ended
// elsewhere. It must release its chunks and leave the results unchanged.
func TestPausedOwnerResumesAfterItsChunksWereTakenOver(t *testing.T) {
	const items, tokens = 200, 60
	f := newFleet(t, kariakoo)
	batch := f.submit(f.vms[0], items, tokens)
	owner := f.waitForOwner()
	owner.signal(syscall.SIGSTOP)
	qt.Check(t, f.waitEnded(f.vms[0], batch.ID).Status, qt.Equals, "completed")
	before := f.results(f.vms[0], batch.ID)
	owner.signal(syscall.SIGCONT)
	eventually(t, "the VM has let go of its chunks", func() bool {
		state, err := owner.state()
		return err == nil && state.Chunks == 0
	})
	qt.Check(t, f.results(owner, batch.ID), qt.DeepEquals, before)
	f.expectOneResultPerItem(f.vms, batch.ID, items, tokens)
}

// While the store is down, online requests succeed and a call that needs a
// durable claim is rejected before it runs. The batch job completes once the
// store is back, also with slow calls and lost responses.
func TestStoreOutageFailsNoOnlineRequestAndNoItem(t *testing.T) {
	const items, tokens = 300, 20
	f := newFleet(t, kariakoo)
	batch := f.submit(f.vms[0], items, tokens)
	f.store.SetDown(true)
	for n := range 60 {
		qt.Assert(t, f.complete(f.vms[n%3], fmt.Sprintf("during the outage %d", n), 12), qt.IsNil)
	}
	_, err := f.vms[0].requester(sitebuilder.OnlineToken).
		Call(t.Context(), "POST", f.spec.Service, "/commissions", "order-1", []byte("panel 1"))
	var rejected *requester.RejectedError
	qt.Assert(t, errors.As(err, &rejected), qt.IsTrue)
	qt.Check(t, rejected.Ran(), qt.Equals, "not-run")
	qt.Check(t, f.services[0].Runs("panel 1"), qt.Equals, 0)
	f.store.SetDown(false)
	f.store.SetRandomFaults(1, rowemulator.Faults{Delay: 80 * time.Millisecond, LostResponseShare: 0.2})
	qt.Check(t, f.waitEnded(f.vms[0], batch.ID).Status, qt.Equals, "completed")
	f.store.SetFaultFunc(nil)
	f.expectOneResultPerItem(f.vms, batch.ID, items, tokens)
}

// A failure domain that loses the platform keeps serving with the last
// configuration that it has, and applies the current one after reconnecting.
func TestPartitionedDomainKeepsServingAndCatchesUp(t *testing.T) {
	f := newFleet(t, kariakoo, dodoma)
	partitioned := f.vms[kariakoo.vms:]
	for _, vm := range partitioned {
		vm.platform.Disconnect()
	}
	version := f.apply(deployer.WithCaller("new", deployer.TokenDigest("new-token"), deployer.Using(f.spec.Model)))
	for _, vm := range f.vms[:kariakoo.vms] {
		f.waitVersion(vm, version)
	}
	for n := range 40 {
		qt.Assert(t, f.complete(partitioned[n%len(partitioned)], fmt.Sprintf("in the cut domain %d", n), 12), qt.IsNil)
	}
	// A VM that restarts in the partitioned domain can read neither the VM list
	// nor the store.
	partitioned[1].kill()
	partitioned[1].settings.SeedPeers = []string{partitioned[0].peers.Address()}
	partitioned[1].start()
	eventually(t, "the fresh VM has learnt the configuration from its peer", func() bool {
		state, err := partitioned[1].state()
		return err == nil && state.ConfigVersion == version-1 && state.Ready && len(state.Upstreams) > 0
	})
	qt.Assert(t, f.complete(partitioned[1], "from the fresh VM", 12), qt.IsNil)
	for _, vm := range partitioned {
		vm.platform.ClearFaults()
	}
	for _, vm := range partitioned {
		f.waitVersion(vm, version)
	}
}

// Of several operators that apply a change to the same version at once, one
// succeeds. The others get exit code 3 and the changes of the winner.
func TestConcurrentConfigChanges(t *testing.T) {
	f := newFleet(t, domainSpec{region: "pwani", domain: "pwani-kariakoo", vms: 1, engines: 1})
	const operators = 4
	codes := make([]int, operators)
	texts := make([]string, operators)
	var group sync.WaitGroup
	for n := range operators {
		doc := f.spec.Document
		deployer.WithCaller(fmt.Sprintf("caller-%d", n), deployer.TokenDigest(fmt.Sprint(n)))(&doc)
		path := filepath.Join(f.dir, fmt.Sprintf("doc-%d.json", n))
		text, err := doc.Print()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(path, text, 0o600), qt.IsNil)
		digest, err := doc.Digest()
		qt.Assert(t, err, qt.IsNil)
		group.Go(func() {
			_, texts[n], codes[n] = command(t, "config", "apply", path, "--platform", f.server.URL, "--from", "1",
				"--digest", digest, "--by", fmt.Sprintf("operator-%d", n), "--why", "race")
		})
	}
	group.Wait()
	won := 0
	for n, code := range codes {
		if code == 0 {
			won++
			continue
		}
		qt.Check(t, code, qt.Equals, 3, qt.Commentf("%s", texts[n]))
		qt.Check(t, strings.Contains(texts[n], "changes from version 1 to 2:"), qt.IsTrue, qt.Commentf("%s", texts[n]))
	}
	qt.Check(t, won, qt.Equals, 1)
	f.waitVersion(f.vms[0], 2)
	history, _, _ := command(t, "config", "history", "--platform", f.server.URL)
	qt.Check(t, strings.Count(history, "\n"), qt.Equals, 2, qt.Commentf("%s", history))
}

// A VM that gets SIGTERM under load must finish its requests and exit without
// an error.
func TestShutdownUnderLoadTruncatesNothing(t *testing.T) {
	const items, tokens = 150, 30
	f := newFleet(t, kariakoo)
	batch := f.submit(f.vms[0], items, tokens)
	var sent, failed atomic.Int32
	var group sync.WaitGroup
	draining := f.vms[2]
	balancer := newBalancer(draining)
	for n := range 12 {
		group.Go(func() {
			for i := 0; balancer.shouldSend(); i++ {
				err := f.complete(draining, fmt.Sprintf("before the shutdown %d %d", n, i), 40)
				sent.Add(1)
				if err != nil {
					failed.Add(1)
					t.Logf("request failed: %v", err)
				}
			}
		})
	}
	eventually(t, "load runs", func() bool { return sent.Load() > 24 })
	draining.signal(syscall.SIGTERM)
	qt.Check(t, <-draining.exited, qt.IsNil, qt.Commentf("%s", draining.log))
	group.Wait()
	qt.Check(t, failed.Load(), qt.Equals, int32(0))
	qt.Check(t, f.waitEnded(f.vms[0], batch.ID).Status, qt.Equals, "completed")
	f.expectOneResultPerItem(f.vms[:2], batch.ID, items, tokens)
}

// balancer models a load balancer: it keeps sending to a VM for balancerLag
// after the VM's readiness check fails.
type balancer struct {
	vm   *process
	mu   sync.Mutex
	stop time.Time
}

// balancerLag is well below the BalancerLag in the VM's settings.
const balancerLag = 500 * time.Millisecond

func newBalancer(vm *process) *balancer { return &balancer{vm: vm} }

func (b *balancer) shouldSend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.stop.IsZero() && !b.vm.isReady() {
		b.stop = now.Add(balancerLag)
	}
	return b.stop.IsZero() || now.Before(b.stop)
}

// A job is canceled while a VM that owns some of its chunks is stopped. After
// the VM resumes, no engine may run another item of the job.
func TestCancelTakesEffectOnPausedVM(t *testing.T) {
	f := newFleet(t, kariakoo)
	batch := f.submit(f.vms[0], 400, 200)
	owner := f.waitForOwner()
	owner.signal(syscall.SIGSTOP)
	cancelled, err := f.vms[0].requester(sitebuilder.BatchToken).Cancel(t.Context(), batch.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, cancelled.Status, qt.Equals, "cancelled")
	owner.signal(syscall.SIGCONT)
	eventually(t, "no engine runs an item any more", func() bool {
		for _, vm := range f.vms {
			if state, err := vm.state(); err != nil || state.Chunks > 0 {
				return false
			}
		}
		return true
	})
	started := f.started()
	qt.Check(t, f.complete(f.vms[0], "after the cancel", 10), qt.IsNil)
	qt.Check(t, f.started(), qt.Equals, started+1)
	status, err := f.vms[2].requester(sitebuilder.BatchToken).Status(t.Context(), batch.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status.Status, qt.Equals, "cancelled")
}

func (f *fleet) started() int {
	n := 0
	for _, engine := range f.engines {
		n += engine.Counts().Started
	}
	return n
}

// The service loses three responses and all VMs send each call at once. No
// call may run twice, and each ends with its answer or as may-have-run.
func TestCommissionRunsAtMostOnce(t *testing.T) {
	f := newFleet(t, kariakoo)
	f.services[0].DropAnswers(3)
	var group sync.WaitGroup
	for n := range 8 {
		for _, vm := range f.vms {
			group.Go(func() {
				body := []byte(fmt.Sprintf("panel %d", n))
				_, err := vm.requester(sitebuilder.OnlineToken).
					Call(t.Context(), "POST", f.spec.Service, "/commissions", fmt.Sprintf("order-%d", n), body)
				var rejected *requester.RejectedError
				if !errors.As(err, &rejected) {
					qt.Check(t, err, qt.IsNil)
				}
			})
		}
	}
	group.Wait()
	f.vms[0].kill()
	for n := range 8 {
		body := fmt.Sprintf("panel %d", n)
		eventually(t, "order "+body+" is settled", func() bool {
			_, err := f.vms[1].requester(sitebuilder.OnlineToken).
				Call(t.Context(), "POST", f.spec.Service, "/commissions", fmt.Sprintf("order-%d", n), []byte(body))
			runs := f.services[0].Runs(body)
			qt.Assert(t, runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", body, runs))
			var rejected *requester.RejectedError
			if errors.As(err, &rejected) {
				return rejected.Ran() == "may-have-run"
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, runs, qt.Equals, 1)
			return true
		})
	}
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	const name = "pwani-kariakoo-engine-0"
	t.Run("as it says itself", func(t *testing.T) {
		f := newFleet(t, kariakoo)
		f.engines[name].SetDraining(true)
		f.expectNoNewRequests(name)
	})
	t.Run("as the list says", func(t *testing.T) {
		f := newFleet(t, kariakoo)
		for i := range f.vmList {
			f.vmList[i].Leaving = f.vmList[i].ID == name
		}
		f.writeVMList()
		f.expectNoNewRequests(name)
	})
}

// expectNoNewRequests sends requests until all VMs know that an engine is leaving, and then checks that it
// gets none of 60 more.
func (f *fleet) expectNoNewRequests(engine string) {
	f.t.Helper()
	send := func(n int) int {
		before := f.engines[engine].Counts()
		for i := range n {
			qt.Assert(f.t, f.complete(f.vms[i%len(f.vms)], fmt.Sprintf("request %d", i), 4), qt.IsNil)
		}
		after := f.engines[engine].Counts()
		return after.Started + after.Rejected - before.Started - before.Rejected
	}
	eventually(f.t, "all VMs know that the engine is leaving", func() bool {
		send(len(f.vms))
		return !slices.ContainsFunc(f.vms, func(vm *process) bool {
			state, err := vm.state()
			return err != nil || state.sendsTo(engine)
		})
	})
	qt.Check(f.t, send(60), qt.Equals, 0)
}

// A request that crashes its engine is resent through all VMs. It must be
// rejected for good after at most 3 crashes, and no other request with it.
func TestPoisonIsRefusedAndInnocentsAreNot(t *testing.T) {
	f := newFleet(t, kariakoo)
	var failed atomic.Int32
	var group sync.WaitGroup
	stop := make(chan struct{})
	for n := range 4 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				err := f.complete(f.vms[n%3], fmt.Sprintf("innocent %d %d", n, i), 6)
				var rejected *requester.RejectedError
				if errors.As(err, &rejected) && rejected.Status() == http.StatusUnprocessableEntity {
					failed.Add(1)
				}
			}
		})
	}
	send := func(n int) bool {
		_, err := f.vms[n%3].requester(sitebuilder.OnlineToken).
			Complete(t.Context(), f.spec.Model, "verse "+engineemulator.PoisonWord, 6)
		var rejected *requester.RejectedError
		return errors.As(err, &rejected) && rejected.Status() == http.StatusUnprocessableEntity
	}
	for n := range 20 {
		send(n)
		time.Sleep(20 * time.Millisecond)
	}
	// While every upstream is down, the request is rejected for that reason with
	// another status; eventually it is rejected as unprocessable.
	for n := range 3 {
		eventually(t, "the request is refused for good", func() bool { return send(n) })
	}
	close(stop)
	group.Wait()
	crashes := 0
	for _, engine := range f.engines {
		crashes += engine.Counts().Crashes
	}
	qt.Check(t, crashes <= 3, qt.IsTrue, qt.Commentf("%d upstreams lost", crashes))
	qt.Check(t, failed.Load(), qt.Equals, int32(0))
}
