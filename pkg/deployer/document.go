// Package deployer lets operators write a fleet's configuration in Go and
// print it as one canonical JSON document. Auditors sign the digest of the
// printed text; entry VMs enforce exactly that text.
package deployer

// Kind tells how the upstreams of a deployment are spoken to.
type Kind string

// The kinds of upstream.
const (
	// KindEngine is a model engine that batches continuously.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Fencing tells what the upstreams of a deployment do with the fencing number
// of an order.
type Fencing string

// The ways in which upstreams treat fencing numbers.
const (
	// FencingChecked upstreams refuse an order with an old fencing number.
	FencingChecked Fencing = "checked"
	// FencingIgnored upstreams carry out every order.
	FencingIgnored Fencing = "ignored"
)

// FormatVersion is the version of the document's format.
const FormatVersion = 1

// Document is the configuration of a whole fleet. Its fields are exported
// because the document is the public, signed text itself.
type Document struct {
	Format  int      `json:"format"`
	Name    string   `json:"name"`
	Regions []Region `json:"regions"`
	// RegionLinkMegabits bounds what online requests of a region may send over
	// the link to the other, in megabits a second; 0 means no bound.
	RegionLinkMegabits int          `json:"regionLinkMegabits,omitempty"`
	Deployments        []Deployment `json:"deployments"`
	Callers            []Caller     `json:"callers"`
}

// Region is a set of failure domains that share a fast network.
type Region struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains"`
}

// Deployment is a pool of upstreams and what they serve.
type Deployment struct {
	Name    string   `json:"name"`
	Kind    Kind     `json:"kind"`
	Pool    string   `json:"pool"`
	Regions []string `json:"regions"`
	Models  []Model  `json:"models,omitempty"`
	// Sequences is the number of sequences that one engine runs at a time, or
	// of calls that one service runs at a time.
	Sequences int `json:"sequences"`
	// OnlineReserve is the number of sequences on each engine that batch work
	// never takes.
	OnlineReserve int `json:"onlineReserve"`
	// BatchPercent is the largest share of an engine's sequences that batch
	// work may hold.
	BatchPercent int     `json:"batchPercent"`
	Fencing      Fencing `json:"fencing"`
	// MinServing is the number of upstreams that stay in service while orders
	// change the others.
	MinServing int    `json:"minServing"`
	Calls      []Call `json:"calls,omitempty"`
}

// Model is one model, with its version and adapters, that engines load.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Call is one call of a plain service.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Repeatable tells whether running the call twice does the same as once.
	Repeatable bool `json:"repeatable"`
}

// Caller is one customer of the fleet.
type Caller struct {
	Name string `json:"name"`
	// TokenDigest is the digest of the caller's bearer token.
	TokenDigest string `json:"tokenDigest"`
	// Uses lists the models and service deployments the caller may use.
	Uses []string `json:"uses"`
	// Weight is the caller's share of a contended fleet relative to others.
	Weight int `json:"weight"`
	// Batch tells whether the caller may submit batch jobs.
	Batch bool `json:"batch"`
}

// Serves tells whether the deployment has upstreams in the region.
func (d Deployment) Serves(region string) bool {
	for _, name := range d.Regions {
		if name == region {
			return true
		}
	}
	return false
}

// FindCall returns the declared call for a method and path.
func (d Deployment) FindCall(method, path string) (Call, bool) {
	for _, call := range d.Calls {
		if call.Method == method && call.Path == path {
			return call, true
		}
	}
	return Call{}, false
}

// May tells whether the caller may use the named model or service.
func (c Caller) May(name string) bool {
	for _, use := range c.Uses {
		if use == name {
			return true
		}
	}
	return false
}
