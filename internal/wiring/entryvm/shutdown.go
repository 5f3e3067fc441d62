package entryvm

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
)

const (
	// balancerLag is how long the balancer may still open new connections after the VM
	// has become not ready: two of its readiness checks and a margin.
	balancerLag = 3200 * time.Millisecond
	// lateAfter is when requests are rejected that may not end in time.
	lateAfter = 3 * time.Second
	// graceMargin is the remainder of the grace period when running requests are aborted, and
	// answerMargin the time before for answers that say so.
	graceMargin  = 500 * time.Millisecond
	answerMargin = 200 * time.Millisecond
)

// Shutdown drains and stops the VM. It hands over or releases batch jobs, waits for running
// requests, and aborts those that still run shortly before the grace period ends.
func (vm *VM) Shutdown() {
	began := time.Now()
	vm.logger.Info("stopping", "vm", vm.settings.VM)
	end := began.Add(vm.settings.GracePeriod - graceMargin)
	vm.readiness.draining.Store(true)
	vm.gateway.Drain(drainer.NewPlan(began.Add(lateAfter), end.Add(-answerMargin)))
	vm.memberKeeper.SetLeaving()
	vm.carrier.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	vm.tasks.Go("release of jobs", func() { vm.runner.Release(ctx) })
	time.Sleep(balancerLag)
	vm.drainCallers(ctx, end)
	vm.cancels.Stop(ctx)
	vm.runner.Stop()
	vm.carrier.Wait(ctx)
	vm.stop()
	for _, s := range vm.servers {
		if err := s.Close(); err != nil {
			vm.logger.Warn("closing a listener failed", "error", err)
		}
	}
	vm.forwarder.Close()
	vm.finder.Close()
	vm.tasks.Wait()
	vm.logger.Info("stopped", "vm", vm.settings.VM, "took", time.Since(began))
}

// drainCallers takes no more connections of callers and waits until all requests have ended.
func (vm *VM) drainCallers(ctx context.Context, end time.Time) {
	vm.callersDraining.Store(true)
	if err := vm.callerListener.Close(); err != nil {
		vm.logger.Warn("closing the listener for callers failed", "error", err)
	}
	abort := time.AfterFunc(time.Until(end.Add(-answerMargin)), vm.gateway.Abort)
	defer abort.Stop()
	if err := vm.callerConns.Drain(ctx); err != nil {
		vm.logger.Warn("requests aborted at the end of the grace period", "error", err)
	}
	vm.spooler.Flush(ctx)
}
