// Package router maps a request's host and path to a route, which determines the
// service that runs the request, how often it may be sent, and its time limits.
package router

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests may be repeated, and the form of their answers.
type Kind uint8

// Kinds of routes.
const (
	// KindSafe is for requests that may run any number of times.
	KindSafe Kind = iota
	// KindUnsafe is for requests that run at most once.
	KindUnsafe
	// KindStream is for requests that are answered with a stream of events. They run
	// at most once, unless the route can resume a stream.
	KindStream
	// KindBatch is for routes that accept batch jobs.
	KindBatch
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream", "batch"}[k]
}

// Share assigns a service its weight in the traffic of a route.
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
	// CanResume is whether a stream may be continued by another upstream.
	CanResume bool
	// Public routes accept requests without a team's key.
	Public   bool
	Priority int // 0 is the most urgent
	// Timeout bounds the time that a caller waits for its answer; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the time from a request's arrival within which its answer, or
	// the first event of a stream, should be sent.
	LatencyTarget time.Duration
	// CompletionTarget and Retention apply to batch routes. They are the times from a
	// job's first submission until all results are due, and until unfinished items may
	// be abandoned.
	CompletionTarget time.Duration
	Retention        time.Duration
	// MaxTokens bounds the tokens of waiting work on a batch route; 0 means no limit. If the
	// configuration has teams, it applies to each team by itself.
	MaxTokens int64
}

// Repeatable returns whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.CanResume)
}

// Service picks a service in proportion to the route's weights, by a hash of the
// request: the same hash always gives the same service. It returns "" if the weights
// sum to zero.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := int(hash % uint64(total))
	for _, share := range r.Shares {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return ""
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one upstream from all VMs together; 0
	// means unknown.
	MaxConnections int
}

// Team is a group of callers that share keys and a quota.
type Team struct {
	Name string
	// Keys are the secrets by which its callers are recognized. They must not be logged.
	Keys []string
	// Priority takes precedence over that of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst, in requests, are the quota of all VMs together; a rate of 0 means no
	// limit.
	RatePerSecond float64
	Burst         float64
}

// HasQuota returns whether the requests of the team are limited.
func (t *Team) HasQuota() bool { return t.RatePerSecond > 0 }

// Limits bounds the size and the timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams are empty if callers need no key.
	Teams []Team
}

// Table is an immutable index of a configuration, used to match requests to routes.
type Table struct {
	configuration Configuration
	routesByHost  map[string][]*Route // longest prefix first
	routesByName  map[string]*Route
	teamsByKey    map[keyDigest]*Team
}

// keyDigest is the digest of a key. The time of a look-up by digest tells nothing of the keys.
type keyDigest [sha256.Size]byte

// NewTable builds the table of a configuration.
func NewTable(configuration Configuration) *Table {
	t := &Table{
		configuration: configuration,
		routesByHost:  make(map[string][]*Route),
		routesByName:  make(map[string]*Route, len(configuration.Routes)),
		teamsByKey:    make(map[keyDigest]*Team, len(configuration.Teams)),
	}
	for i := range configuration.Teams {
		team := &configuration.Teams[i]
		for _, key := range team.Keys {
			t.teamsByKey[sha256.Sum256([]byte(key))] = team
		}
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		t.routesByHost[route.Host] = append(t.routesByHost[route.Host], route)
		t.routesByName[route.Name] = route
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Services returns the services of the configuration.
func (t *Table) Services() []Service { return t.configuration.Services }

// HasTeams returns whether requests on routes that are not public need the key of a team.
func (t *Table) HasTeams() bool { return len(t.configuration.Teams) > 0 }

// TeamOf returns the team that holds a key.
func (t *Table) TeamOf(key string) (*Team, bool) {
	team, found := t.teamsByKey[sha256.Sum256([]byte(key))]
	return team, found
}

// HasPublicJobs returns whether a batch route of a host is public, so that calls on jobs need no key
// there.
func (t *Table) HasPublicJobs(host string) bool {
	return slices.ContainsFunc(t.routesByHost[hostWithoutPort(host)], func(r *Route) bool {
		return r.Public && r.Kind == KindBatch
	})
}

// Teams returns the teams of the configuration.
func (t *Table) Teams() []Team { return t.configuration.Teams }

// LongestStream returns the longest timeout of the routes whose streams can be resumed. A route
// without a timeout counts with the given time.
func (t *Table) LongestStream(unlimited time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, route := range t.configuration.Routes {
		switch {
		case route.Kind != KindStream || !route.CanResume:
		case route.Timeout == 0:
			longest = max(longest, unlimited)
		default:
			longest = max(longest, route.Timeout)
		}
	}
	return longest
}

// Match returns the route of the host with the longest prefix of the path. The host may
// include a port, and is lowercased before it is compared.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.routesByHost[hostWithoutPort(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// RouteByName returns the route with the given name.
func (t *Table) RouteByName(name string) (*Route, bool) {
	route, found := t.routesByName[name]
	return route, found
}

// hostWithoutPort returns a host in lower case, up to its first colon.
func hostWithoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
