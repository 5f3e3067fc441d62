package batchrunner

import (
	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

// Reasons for which an item ends without an output, for logs and metrics.
const (
	reasonImpossible   = "impossible"   // the upstream answered that it can't be processed
	reasonFailed       = "failed"       // it has used up the attempts of its route
	reasonExpired      = "expired"      // it is no longer owed
	reasonRouteRemoved = "routeRemoved" // the configuration has no such route any more
)

// routing is the routes in force at this VM, and how far they can be trusted to be the newest.
type routing struct {
	table *router.Table
	asOf  uint64 // a version of the store: table has all changes up to it
}

// routing returns the routes in force. It returns false if there are none yet.
func (r *Runner) routing() (routing, bool) {
	asOf := r.config.AsOf() // before the table, which is then at least as new
	table := r.config.Table()
	return routing{table: table, asOf: asOf}, table != nil
}

// covers returns whether the routes are at least as new as those under which a job was
// accepted.
//
// A job may reach a VM before the configuration that has its route: by a handover, by a scan
// of the store, or at a start. To an older configuration a new route looks like one that was
// removed, and limits that were raised look exhausted. What it says against a job is therefore
// no reason to give an item up, which can't be undone: the items wait for the newer one.
//
// A record of an earlier release doesn't name the configuration. The VM that accepted the job had
// read it before it wrote the record, so the routes are new enough once they have all changes
// up to the record that this VM has got first.
func (c routing) covers(j *job) bool {
	if accepted := j.stored.Configuration; accepted != 0 {
		return c.table.Version() >= accepted
	}
	return c.asOf >= j.firstVersion
}

// expire abandons the items of jobs that have expired or whose route no longer exists, and those
// that have used up their attempts. Running ones are cancelled first, and abandoned by a later
// call. Items that only an older configuration would end wait for the newer one.
func (r *Runner) expire() {
	current, found := r.routing()
	if !found {
		return
	}
	awaits := false
	for _, j := range r.jobs {
		_, routed := current.table.RouteByName(j.stored.Route)
		switch {
		case r.expired(j):
			r.end(j, reasonExpired)
		case routed:
			awaits = !r.abandonAllFailed(j, current) || awaits
		case current.covers(j):
			r.end(j, reasonRouteRemoved)
		default:
			awaits = true
			r.logAwait(j, current)
		}
	}
	r.awaitsConfiguration.Store(awaits)
}

// abandonAllFailed abandons the pending items of a job that have used up their attempts. It
// returns false if some wait for a newer configuration.
func (r *Runner) abandonAllFailed(j *job, current routing) bool {
	judged := true
	for _, it := range j.items {
		if it.state == statePending {
			judged = r.abandonFailed(it, current) && judged
		}
	}
	return judged
}

// abandonFailed abandons an item that has used up the attempts of its route. It returns false if
// the item waits for a newer configuration, which may allow more.
func (r *Runner) abandonFailed(it *item, current routing) bool {
	route, found := current.table.RouteByName(it.job.stored.Route)
	switch {
	case !found || !it.outOfAttempts(route):
		return true
	case !current.covers(it.job):
		r.logAwait(it.job, current)
		return false
	default:
		r.abandon(it, reasonFailed)
		return true
	}
}

// outOfAttempts returns whether an item has failed as often as a route allows.
func (it *item) outOfAttempts(route *router.Route) bool {
	return it.failureCounts.Failures > 0 && it.failureCounts.Failures >= route.MaxAttempts
}

// end abandons the pending items of a job and cancels the running ones.
func (r *Runner) end(j *job, reason string) {
	for _, it := range j.items {
		switch it.state {
		case statePending:
			r.abandon(it, reason)
		case stateRunning:
			it.cancel()
		case stateEnded:
		}
	}
}

// logAwait logs once that a job waits for a newer configuration.
func (r *Runner) logAwait(j *job, current routing) {
	if j.awaitLogged {
		return
	}
	j.awaitLogged = true
	r.counter.Count("jobs_await_configuration_total")
	r.logger.Warn("job waits for a newer configuration", "job", j.stored.ID, "route", j.stored.Route,
		"acceptedUnder", j.stored.Configuration, "configuration", current.table.Version(),
		"record", j.firstVersion, "asOf", current.asOf)
}

// AwaitsConfiguration returns whether a job waits for a newer configuration, so that this VM
// should read the configuration soon.
func (r *Runner) AwaitsConfiguration() bool { return r.awaitsConfiguration.Load() }

// expired returns whether the items of a job are no longer owed.
func (r *Runner) expired(j *job) bool { return r.keeper.Now() >= j.stored.Expires }

// abandon ends an item without an output.
func (r *Runner) abandon(it *item, reason string) {
	r.counter.Count(`items_total{outcome="` + reason + `"}`)
	version := uint64(0)
	if table := r.config.Table(); table != nil {
		version = table.Version()
	}
	r.logger.Info("item abandoned", "job", it.job.stored.ID, "item", it.ID, "reason", reason, "route", it.job.stored.Route,
		"configuration", version, "expiresIn", it.job.stored.Expires-r.keeper.Now(),
		"failures", it.failureCounts.Failures, "crashes", it.failureCounts.Crashes)
	it.job.finish(it, false)
}
