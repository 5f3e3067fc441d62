package deployer

import (
	"crypto/sha256"
	"encoding/hex"
)

// Option sets one part of a Document.
type Option func(*Document)

// DeploymentOption sets one part of a Deployment.
type DeploymentOption func(*Deployment)

// CallerOption sets one part of a Caller.
type CallerOption func(*Caller)

// New returns a document with the parts that the options add, in canonical order. It doesn't
// check the document.
func New(name string, options ...Option) Document {
	doc := Document{Format: FormatVersion, Name: name}
	for _, option := range options {
		option(&doc)
	}
	doc.normalize()
	return doc
}

// WithRegion adds a region and its failure domains.
func WithRegion(name string, domains ...string) Option {
	return func(doc *Document) {
		doc.Regions = append(doc.Regions, Region{Name: name, Domains: domains})
	}
}

// WithRegionLink limits the traffic of online requests between regions to a rate in megabits
// per second.
func WithRegionLink(megabits int) Option {
	return func(doc *Document) { doc.RegionLinkMegabits = megabits }
}

// WithEngines adds a deployment of model engines.
func WithEngines(name string, sequences int, options ...DeploymentOption) Option {
	return withDeployment(Deployment{
		Name: name, Kind: KindEngine, Pool: name, Sequences: sequences,
		OnlineReserve: 1, BatchPercent: 100, Fencing: FencingIgnored, MinServing: 1,
	}, options)
}

// WithService adds a deployment of plain services.
func WithService(name string, concurrency int, options ...DeploymentOption) Option {
	return withDeployment(Deployment{
		Name: name, Kind: KindService, Pool: name, Sequences: concurrency,
		Fencing: FencingIgnored, MinServing: 1,
	}, options)
}

func withDeployment(deployment Deployment, options []DeploymentOption) Option {
	return func(doc *Document) {
		for _, option := range options {
			option(&deployment)
		}
		doc.Deployments = append(doc.Deployments, deployment)
	}
}

// InRegions sets the regions in which a deployment has upstreams.
func InRegions(names ...string) DeploymentOption {
	return func(d *Deployment) { d.Regions = names }
}

// WithModel adds a model that the deployment's engines load.
func WithModel(name, version string, adapters ...string) DeploymentOption {
	return func(d *Deployment) {
		d.Models = append(d.Models, Model{Name: name, Version: version, Adapters: adapters})
	}
}

// WithOnlineReserve reserves sequences of each engine for online requests.
func WithOnlineReserve(sequences int) DeploymentOption {
	return func(d *Deployment) { d.OnlineReserve = sequences }
}

// WithBatchPercent limits the share of an engine's sequences that batch work may use.
func WithBatchPercent(percent int) DeploymentOption {
	return func(d *Deployment) { d.BatchPercent = percent }
}

// WithFencing sets whether the upstreams check fencing numbers.
func WithFencing(fencing Fencing) DeploymentOption {
	return func(d *Deployment) { d.Fencing = fencing }
}

// WithMinServing sets how many upstreams stay in service while orders change others.
func WithMinServing(upstreams int) DeploymentOption {
	return func(d *Deployment) { d.MinServing = upstreams }
}

// WithRepeatableCall adds a service call that may be repeated.
func WithRepeatableCall(method, path string) DeploymentOption {
	return withCall(Call{Method: method, Path: path, Repeatable: true})
}

// WithSingleCall adds a service call that runs at most once.
func WithSingleCall(method, path string) DeploymentOption {
	return withCall(Call{Method: method, Path: path})
}

func withCall(call Call) DeploymentOption {
	return func(d *Deployment) { d.Calls = append(d.Calls, call) }
}

// WithCaller adds a caller, which is authenticated by the digest of its bearer token.
func WithCaller(name, tokenDigest string, options ...CallerOption) Option {
	return func(doc *Document) {
		caller := Caller{Name: name, TokenDigest: tokenDigest, Weight: 1}
		for _, option := range options {
			option(&caller)
		}
		doc.Callers = append(doc.Callers, caller)
	}
}

// Using adds models and services that the caller may use.
func Using(names ...string) CallerOption {
	return func(c *Caller) { c.Uses = append(c.Uses, names...) }
}

// WithWeight sets the caller's share of an overloaded fleet relative to other callers. The
// default is 1.
func WithWeight(weight int) CallerOption {
	return func(c *Caller) { c.Weight = weight }
}

// WithBatch allows the caller to submit batch jobs.
func WithBatch() CallerOption {
	return func(c *Caller) { c.Batch = true }
}

// TokenDigest returns the digest of a bearer token, as the configuration has it.
func TokenDigest(token string) string {
	return sha256Digest([]byte(token))
}

func sha256Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}
