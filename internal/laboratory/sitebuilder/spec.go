package sitebuilder

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// Bearer tokens of the callers that every site's document configures.
const (
	OnlineToken = "clerks-token"
	GreedyToken = "greedy-token"
	BatchToken  = "batch-token"
)

// Sequences is the number of requests that each engine runs concurrently.
const Sequences = 8

// delays returns a function of the one-way delay between two failure domains, given
// the delays within a region and between regions.
func delays(domains []Domain, inRegion, betweenRegions time.Duration) func(from, to string) time.Duration {
	regions := map[string]string{}
	for _, d := range domains {
		regions[d.Name] = d.Region
	}
	return func(from, to string) time.Duration {
		switch {
		case from == to:
			return 0
		case regions[from] == regions[to]:
			return inRegion
		default:
			return betweenRegions
		}
	}
}

// withDelays returns the spec with the delays within a region and between regions.
func withDelays(spec Spec, inRegion, betweenRegions time.Duration) Spec {
	spec.Delay = delays(spec.Domains, inRegion, betweenRegions)
	return spec
}

// Authority returns the Authority's site at its current size.
func Authority() Spec {
	return withDelays(Spec{
		Document: document("authority", "scribe-lm", "2026-10", "order-desk", "/commissions",
			deployer.WithRegion("pwani", "pwani-kariakoo", "pwani-mbezi"), deployer.WithRegion("dodoma", "dodoma-makulu")),
		EnginePool: "scribe-lm", Model: "scribe-lm", Service: "order-desk",
		Domains: []Domain{
			{Region: "pwani", Name: "pwani-kariakoo", VMs: 4, Engines: 7, Services: 1},
			{Region: "pwani", Name: "pwani-mbezi", VMs: 4, Engines: 7, Services: 1},
			{Region: "dodoma", Name: "dodoma-makulu", VMs: 4, Engines: 6, Services: 1},
		},
		Seed: 1,
	}, time.Millisecond, 5*time.Millisecond)
}

// Trentvale returns Trentvale's site at its current size.
func Trentvale() Spec {
	return withDelays(Spec{
		Document: document("trentvale", "pole-assistant", "7", "yard-ledger", "/collections",
			deployer.WithRegion("east-mids", "nottingham", "leicester"), deployer.WithRegion("west-mids", "walsall")),
		EnginePool: "pole-assistant", Model: "pole-assistant", Service: "yard-ledger",
		Domains: []Domain{
			{Region: "east-mids", Name: "nottingham", VMs: 4, Engines: 4, Services: 1},
			{Region: "east-mids", Name: "leicester", VMs: 3, Engines: 3, Services: 1},
			{Region: "west-mids", Name: "walsall", VMs: 3, Engines: 3, Services: 1},
		},
		Seed: 1,
	}, 500*time.Microsecond, 5*time.Millisecond)
}

// SingleDomain returns a site of one failure domain, without network delays.
func SingleDomain(vms, engines int) Spec {
	spec := Spec{
		Document: document("single", "scribe-lm", "2026-10", "order-desk", "/commissions",
			deployer.WithRegion("pwani", "pwani-kariakoo")),
		EnginePool: "scribe-lm", Model: "scribe-lm", Service: "order-desk",
		Domains: []Domain{{Region: "pwani", Name: "pwani-kariakoo", VMs: vms, Engines: engines, Services: 1}},
		Seed:    1,
	}
	return spec
}

// WithOnlineReserve returns the spec with the number of sequences that each engine
// reserves for online requests.
func (spec Spec) WithOnlineReserve(sequences int) Spec {
	spec.Document.Deployments = slices.Clone(spec.Document.Deployments)
	for i := range spec.Document.Deployments {
		spec.Document.Deployments[i].OnlineReserve = sequences
	}
	return spec
}

// document returns a site's document: one model, one service with a repeatable call
// and a call that may run only once, and the callers of the tokens above.
func document(name, model, version, service, singleCall string, regions ...deployer.Option) deployer.Document {
	doc := deployer.New(name, regions...)
	var in []string
	for _, region := range doc.Regions {
		in = append(in, region.Name)
	}
	return deployer.New(name, append(regions,
		deployer.WithEngines(model, Sequences, deployer.InRegions(in...), deployer.WithModel(model, version),
			deployer.WithOnlineReserve(1), deployer.WithFencing(deployer.FencingChecked)),
		deployer.WithService(service, 2*Sequences, deployer.InRegions(in...),
			deployer.WithRepeatableCall("GET", "/prices"), deployer.WithSingleCall("POST", singleCall)),
		deployer.WithCaller("clerks", deployer.TokenDigest(OnlineToken), deployer.Using(model, service)),
		deployer.WithCaller("greedy", deployer.TokenDigest(GreedyToken), deployer.Using(model)),
		deployer.WithCaller("batch", deployer.TokenDigest(BatchToken), deployer.Using(model), deployer.WithBatch()),
	)...)
}

// BatchInput returns the text of an input file of chat completions that generate the
// given number of tokens each. Items are named PREFIX-0, PREFIX-1 and so on.
func BatchInput(model, prefix string, items, tokens int) string {
	var text strings.Builder
	for n := range items {
		fmt.Fprintf(&text, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions",`+
			`"body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"%s item %d"}]}}`+"\n",
			prefix, n, model, tokens, prefix, n)
	}
	return text.String()
}
