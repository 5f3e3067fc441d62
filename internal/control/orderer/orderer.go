// Package orderer decides which orders a VM sends to the upstreams that it owns.
// It is a deterministic state machine: its output depends only on its state, the
// event and the time. It compares the state that the configuration asks for with
// the state that upstreams report, and sends an order only under a claim with a
// fencing number.
package orderer

import (
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

const (
	// retryDelay is the time to wait after a failed claim on an upstream.
	retryDelay = 2 * time.Second
	// settleDelay is the time after an order in which the upstream gets no other
	// order, so that its load report can show the effect.
	settleDelay = 5 * time.Second
)

// DesiredState is the state that an upstream should have according to the
// configuration.
type DesiredState struct {
	Upstream   string
	Deployment string
	Domain     string
	// ConfigVersion is the version of the configuration that the state comes from.
	ConfigVersion uint64
	Models        []upstream.LoadedModel
	// ChecksFencing reports whether the upstream rejects outdated fencing numbers.
	ChecksFencing bool
	// MinServing is how many upstreams of the deployment must stay in service in
	// each failure domain.
	MinServing int
	// Total is the number of the deployment's upstreams in the domain, and
	// Serving is how many of them are in service.
	Total   int
	Serving int
}

// Action is a side effect that the caller must carry out.
type Action interface{ isAction() }

// Claim requests the exclusive right to send orders to an upstream.
type Claim struct {
	Desired DesiredState
	// Disruptive reports whether the upstream is in service and may stop serving
	// while it carries out the order.
	Disruptive bool
}

// Send requests that an order be sent to an upstream.
type Send struct {
	Upstream string
	Order    upstream.Order
	Grant    Grant
}

// Release requests that a granted claim be released.
type Release struct {
	Upstream string
	Grant    Grant
}

func (Claim) isAction()   {}
func (Send) isAction()    {}
func (Release) isAction() {}

// Grant is a granted claim.
type Grant struct {
	Fencing uint64
	// Permit is the number of the permit for a disruptive order, or -1 for none.
	Permit int
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseClaiming
	phaseSending
	phaseReleasing
)

// orderedUpstream is the state of one upstream that this VM owns.
type orderedUpstream struct {
	desired  DesiredState
	phase    phase
	report   upstream.LoadReport
	reported bool
	retryAt  time.Time
}

// Orderer holds the upstreams that one VM owns, and the progress of their orders.
type Orderer struct {
	upstreams map[string]*orderedUpstream
}

// New returns an Orderer without upstreams.
func New() *Orderer { return &Orderer{upstreams: map[string]*orderedUpstream{}} }

// SetDesired replaces the desired states. An upstream that is no longer among them
// is removed, unless a claim, order or release for it is in progress.
func (o *Orderer) SetDesired(desired []DesiredState) {
	kept := map[string]bool{}
	for _, state := range desired {
		kept[state.Upstream] = true
		t, found := o.upstreams[state.Upstream]
		if !found {
			t = &orderedUpstream{}
			o.upstreams[state.Upstream] = t
		}
		t.desired = state
	}
	for id, t := range o.upstreams {
		if !kept[id] && t.phase == phaseIdle {
			delete(o.upstreams, id)
		}
	}
}

// ReceiveReport stores the load report of an upstream.
func (o *Orderer) ReceiveReport(id string, report upstream.LoadReport) {
	if t, found := o.upstreams[id]; found {
		t.report, t.reported = report, true
	}
}

// Tick requests claims on upstreams whose reported state differs from the desired
// one.
func (o *Orderer) Tick(now time.Time) []Action {
	var out []Action
	for _, id := range o.sortedIDs() {
		t := o.upstreams[id]
		if t.phase != phaseIdle || !t.reported || now.Before(t.retryAt) || t.converged() {
			continue
		}
		disruptive := t.serves()
		if disruptive && t.desired.Serving-1 < t.desired.MinServing && t.desired.Total > 1 {
			// Too few others would stay in service. A deployment's only upstream in a domain
			// is ordered anyway, as no other could ever serve meanwhile.
			continue
		}
		t.phase = phaseClaiming
		out = append(out, Claim{Desired: t.desired, Disruptive: disruptive})
	}
	return out
}

func (o *Orderer) sortedIDs() []string {
	ids := make([]string, 0, len(o.upstreams))
	for id := range o.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// converged reports whether the upstream has the desired state.
func (t *orderedUpstream) converged() bool {
	if t.report.Leaving {
		return true // a draining upstream needs no further orders
	}
	if t.report.Role != upstream.RoleServing || len(t.report.Loaded) != len(t.desired.Models) {
		return false
	}
	for _, model := range t.desired.Models {
		if !slices.ContainsFunc(t.report.Loaded, func(m upstream.LoadedModel) bool { return sameModel(m, model) }) {
			return false
		}
	}
	return true
}

func sameModel(a, b upstream.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// serves reports whether the upstream serves one of the desired models, in any
// version.
func (t *orderedUpstream) serves() bool {
	if t.report.Role != upstream.RoleServing {
		return false
	}
	return slices.ContainsFunc(t.report.Loaded, func(m upstream.LoadedModel) bool {
		return slices.ContainsFunc(t.desired.Models, func(w upstream.LoadedModel) bool { return w.Name == m.Name })
	})
}

// Claimed handles the result of a Claim.
func (o *Orderer) Claimed(id string, grant Grant, err error, now time.Time) []Action {
	t, found := o.upstreams[id]
	if !found || t.phase != phaseClaiming {
		return nil
	}
	if err != nil {
		t.phase = phaseIdle
		t.retryAt = now.Add(retryDelay)
		return nil
	}
	t.phase = phaseSending
	order := upstream.Order{Fencing: grant.Fencing, Role: upstream.RoleServing, Models: t.desired.Models}
	return []Action{Send{Upstream: id, Order: order, Grant: grant}}
}

// Sent handles the end of an order, whether or not it succeeded. The next load
// reports show its effect, so an order whose response was lost needs no special
// handling.
func (o *Orderer) Sent(id string, grant Grant, now time.Time) []Action {
	t, found := o.upstreams[id]
	if !found {
		return nil
	}
	t.phase = phaseReleasing
	t.reported = false
	t.retryAt = now.Add(settleDelay)
	return []Action{Release{Upstream: id, Grant: grant}}
}

// Released handles the end of a Release.
func (o *Orderer) Released(id string) {
	if t, found := o.upstreams[id]; found {
		t.phase = phaseIdle
	}
}
