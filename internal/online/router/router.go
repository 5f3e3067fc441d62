// Package router finds the route of a request: which service runs it, how
// often it may be sent, and how long its caller is kept waiting.
package router

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated, and how a request is answered.
type Kind uint8

// The kinds of route.
const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = iota
	// KindUnsafe requests run at most once.
	KindUnsafe
	// KindStream requests are answered by a series of events. They run at most
	// once, unless their route can resume a stream.
	KindStream
	// KindBatch routes take batch jobs.
	KindBatch
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream", "batch"}[k]
}

// Share is the part of a route's requests that one service takes.
type Share struct {
	Service string
	Weight  int
}

// Route is one route of a configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	Shares []Share
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// CanResume tells whether a stream may go on at another upstream.
	CanResume bool
	Priority  int // 0 is the most urgent
	// Timeout is the longest time that a caller is kept waiting; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or its first event, is in time.
	LatencyTarget time.Duration
	// CompletionTarget and Retention belong to batch routes: when all results are
	// due, and when an item may be given up, both since the job was first sent.
	CompletionTarget time.Duration
	Retention        time.Duration
	// MaxTokens bounds the tokens that wait on a batch route; 0 means no limit.
	MaxTokens int64
}

// Repeatable tells whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.CanResume)
}

// Service returns the service that takes a request, by the route's weights. The
// same point, a hash of the request, always gives the same service.
func (r *Route) Service(point uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	rest := int(point % uint64(total))
	for _, share := range r.Shares {
		if rest < share.Weight {
			return share.Service
		}
		rest -= share.Weight
	}
	return ""
}

// Service is what a configuration says of a service.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one upstream from all VMs together;
	// 0 if it isn't known.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of what operators set.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is a configuration in the form that requests are matched with. It never
// changes.
type Table struct {
	configuration Configuration
	hosts         map[string][]*Route // longest prefix first
	names         map[string]*Route
}

// NewTable returns the table of a configuration.
func NewTable(configuration Configuration) *Table {
	t := &Table{
		configuration: configuration,
		hosts:         make(map[string][]*Route),
		names:         make(map[string]*Route, len(configuration.Routes)),
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
		t.names[route.Name] = route
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Services returns the services of the configuration.
func (t *Table) Services() []Service { return t.configuration.Services }

// Match returns the route with the longest prefix of the path among those of
// the host. The host may carry a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.hosts[bareHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// RouteByName returns the route with a name.
func (t *Table) RouteByName(name string) (*Route, bool) {
	route, found := t.names[name]
	return route, found
}

func bareHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
