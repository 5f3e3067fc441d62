// Package publisher builds the immutable view of the fleet that traffic reads.
// The control goroutine publishes a new one whenever something has changed.
package publisher

import (
	"sync/atomic"

	"github.com/fescuespindle/fescuespindle/internal/control/propagator"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// Target is what callers name in a request: a model or a plain service.
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

// Lane returns what the target's requests share on this VM.
func (t *Target) Lane() *dispatcher.Lane { return t.lane }

// Pool returns the target's upstreams.
func (t *Target) Pool() *chooser.Pool { return t.pool }

// View is what traffic knows of the fleet. It never changes.
type View struct {
	config  propagator.Config
	doc     deployer.Document
	callers map[string]deployer.Caller
	targets map[string]*Target
	reason  string
}

// Config returns the configuration in force.
func (v *View) Config() propagator.Config { return v.config }

// Document returns the document in force.
func (v *View) Document() deployer.Document { return v.doc }

// Ready tells whether requests can be served, and if not, why.
func (v *View) Ready() (bool, string) { return v.reason == "", v.reason }

// Caller returns the caller with a bearer token.
func (v *View) Caller(token string) (deployer.Caller, bool) {
	caller, found := v.callers[deployer.TokenDigest(token)]
	return caller, found
}

// Target returns the model or service with a name.
func (v *View) Target(name string) (*Target, bool) {
	target, found := v.targets[name]
	return target, found
}

// Targets calls yield for each target, in no order.
func (v *View) Targets(yield func(*Target) bool) {
	for _, target := range v.targets {
		if !yield(target) {
			return
		}
	}
}

// Publisher hands the newest view from control to traffic.
type Publisher struct {
	view atomic.Pointer[View]
}

// New returns a publisher of an empty view.
func New() *Publisher {
	p := &Publisher{}
	p.view.Store(&View{reason: "starting"})
	return p
}

// View returns the newest view.
func (p *Publisher) View() *View { return p.view.Load() }

// Publish replaces the view.
func (p *Publisher) Publish(v *View) { p.view.Store(v) }
