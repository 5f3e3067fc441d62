// Package publisher builds the immutable view of the fleet that request handling
// reads. The control goroutine publishes a new view after each change.
package publisher

import (
	"sync/atomic"

	"github.com/fescuespindle/fescuespindle/internal/control/propagator"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// Target is a model or a service that callers can request by name.
type Target struct {
	name       string
	deployment deployer.Deployment
	lane       *dispatcher.Lane
	pool       *chooser.Pool
}

// Name returns the name of the model or service.
func (t *Target) Name() string { return t.name }

// Deployment returns the deployment that serves the target.
func (t *Target) Deployment() deployer.Deployment { return t.deployment }

// Lane returns the state that all requests for the target share on this VM, such as
// its admission queue.
func (t *Target) Lane() *dispatcher.Lane { return t.lane }

// Pool returns the target's upstreams.
func (t *Target) Pool() *chooser.Pool { return t.pool }

// View is an immutable snapshot of the fleet and its configuration.
type View struct {
	config   propagator.Config
	document deployer.Document
	callers  map[string]deployer.Caller
	targets  map[string]*Target
	reason   string
}

// Config returns the configuration in force.
func (v *View) Config() propagator.Config { return v.config }

// Document returns the decoded document of the configuration in force.
func (v *View) Document() deployer.Document { return v.document }

// Ready reports whether requests can be served, and the reason if they can't.
func (v *View) Ready() (bool, string) { return v.reason == "", v.reason }

// Caller returns the caller that a bearer token belongs to.
func (v *View) Caller(token string) (deployer.Caller, bool) {
	caller, found := v.callers[deployer.TokenDigest(token)]
	return caller, found
}

// Target returns the target with a name.
func (v *View) Target(name string) (*Target, bool) {
	target, found := v.targets[name]
	return target, found
}

// Targets calls yield for each target, in no particular order.
func (v *View) Targets(yield func(*Target) bool) {
	for _, target := range v.targets {
		if !yield(target) {
			return
		}
	}
}

// Publisher passes the newest view from the control goroutine to request handling.
type Publisher struct {
	view atomic.Pointer[View]
}

// New returns a Publisher with an empty view that isn't ready.
func New() *Publisher {
	p := &Publisher{}
	p.view.Store(&View{reason: "starting"})
	return p
}

// View returns the newest view. It is safe for concurrent use.
func (p *Publisher) View() *View { return p.view.Load() }

// Publish replaces the view.
func (p *Publisher) Publish(v *View) { p.view.Store(v) }
