// Package deployer builds a fleet's configuration in Go, and checks, prints and compares it.
// A configuration is printed as one canonical JSON document. Auditors sign the digest of the
// printed text, and entry VMs enforce exactly that text.
package deployer

// Kind is the kind of a deployment's upstreams. It determines the protocol to them.
type Kind string

// The kinds of upstream.
const (
	// KindEngine is a model engine with continuous batching.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Fencing is how the upstreams of a deployment handle the fencing number of an order.
type Fencing string

// The ways in which upstreams handle fencing numbers.
const (
	// FencingChecked means that upstreams reject an order with an old fencing number.
	FencingChecked Fencing = "checked"
	// FencingIgnored means that upstreams execute every order.
	FencingIgnored Fencing = "ignored"
)

// FormatVersion is the version of the document format.
const FormatVersion = 1

// Document is the configuration of a whole fleet. Its fields are exported
// because the document is the public, signed text itself.
type Document struct {
	Format  int      `json:"format"`
	Name    string   `json:"name"`
	Regions []Region `json:"regions"`
	// RegionLinkMegabits limits the traffic of a region's online requests over the link to
	// the other region, in megabits per second; 0 means unlimited.
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
	// OnlineReserve is the number of sequences on each engine that batch work never uses.
	OnlineReserve int `json:"onlineReserve"`
	// BatchPercent is the largest share of an engine's sequences that batch work may use, in
	// percent.
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

// Call is a method and path that a plain service accepts.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Repeatable means that the call is idempotent: running it twice does the same as once.
	Repeatable bool `json:"repeatable"`
}

// Caller is a client of the fleet, with its credentials and permissions.
type Caller struct {
	Name string `json:"name"`
	// TokenDigest is the digest of the caller's bearer token.
	TokenDigest string `json:"tokenDigest"`
	// Uses lists the models and service deployments that the caller may use.
	Uses []string `json:"uses"`
	// Weight is the caller's share of an overloaded fleet relative to other callers.
	Weight int `json:"weight"`
	// Batch allows the caller to submit batch jobs.
	Batch bool `json:"batch"`
}

// Serves returns whether the deployment has upstreams in the region.
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

// May returns whether the caller may use the named model or service.
func (c Caller) May(name string) bool {
	for _, use := range c.Uses {
		if use == name {
			return true
		}
	}
	return false
}
