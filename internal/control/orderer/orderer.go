// Package orderer decides which orders a VM gives to the upstreams that it
// looks after. It is a deterministic core: a function of its state, an event
// and the time. It compares what the configuration wishes with what upstreams
// report, and issues an order only under a claim with a fencing number.
package orderer

import (
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

const (
	// retryWait is the time between two tries for one upstream.
	retryWait = 2 * time.Second
	// settleWait is how long after an order its effect may take to be reported.
	settleWait = 5 * time.Second
)

// Wish is the state that the configuration wants an upstream to have.
type Wish struct {
	Upstream   string
	Deployment string
	Domain     string
	// ConfigVersion is the configuration that the wish comes from.
	ConfigVersion uint64
	Models        []upstream.LoadedModel
	// Checked tells whether the upstream refuses old fencing numbers.
	Checked bool
	// MinServing upstreams of the deployment stay in service in each domain.
	MinServing int
	// Pool is the number of the deployment's upstreams in the domain, and
	// Serving how many of them serve now.
	Pool    int
	Serving int
}

// Action is something that the core wants done.
type Action interface{ isAction() }

// Claim asks for the right to order an upstream.
type Claim struct {
	Wish Wish
	// Disturbs tells whether the upstream serves now and may stop while the
	// order is carried out.
	Disturbs bool
}

// Send asks to send an order.
type Send struct {
	Upstream string
	Order    upstream.Order
	Ticket   Ticket
}

// Release asks to give a claim back.
type Release struct {
	Upstream string
	Ticket   Ticket
}

func (Claim) isAction()   {}
func (Send) isAction()    {}
func (Release) isAction() {}

// Ticket is a claim that was granted.
type Ticket struct {
	Fencing uint64
	// Slot is the number of the permit to change an upstream, or -1 for none.
	Slot int
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseClaiming
	phaseSending
	phaseReleasing
)

// target is one upstream that this VM looks after.
type target struct {
	wish     Wish
	phase    phase
	report   upstream.LoadReport
	reported bool
	retryAt  time.Time
}

// Orderer is the state of one VM.
type Orderer struct {
	targets map[string]*target
}

// New returns an orderer without wishes.
func New() *Orderer { return &Orderer{targets: map[string]*target{}} }

// SetWishes replaces the wishes. An upstream that this VM doesn't look after
// any more is forgotten, unless an order is under way.
func (o *Orderer) SetWishes(wishes []Wish) {
	wanted := map[string]bool{}
	for _, wish := range wishes {
		wanted[wish.Upstream] = true
		t, found := o.targets[wish.Upstream]
		if !found {
			t = &target{}
			o.targets[wish.Upstream] = t
		}
		t.wish = wish
	}
	for id, t := range o.targets {
		if !wanted[id] && t.phase == phaseIdle {
			delete(o.targets, id)
		}
	}
}

// Reported takes an upstream's report.
func (o *Orderer) Reported(id string, report upstream.LoadReport) {
	if t, found := o.targets[id]; found {
		t.report, t.reported = report, true
	}
}

// Tick asks for claims on upstreams whose state isn't the wished one.
func (o *Orderer) Tick(now time.Time) []Action {
	var out []Action
	for _, id := range o.sorted() {
		t := o.targets[id]
		if t.phase != phaseIdle || !t.reported || now.Before(t.retryAt) || t.settled() {
			continue
		}
		disturbs := t.serves()
		if disturbs && t.wish.Serving-1 < t.wish.MinServing && t.wish.Pool > 1 {
			continue // others must be in service first
		}
		t.phase = phaseClaiming
		out = append(out, Claim{Wish: t.wish, Disturbs: disturbs})
	}
	return out
}

func (o *Orderer) sorted() []string {
	ids := make([]string, 0, len(o.targets))
	for id := range o.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// settled tells whether the upstream has the wished state.
func (t *target) settled() bool {
	if t.report.Leaving {
		return true // it is not worth an order any more
	}
	if t.report.Role != upstream.RoleServing || len(t.report.Loaded) != len(t.wish.Models) {
		return false
	}
	for _, wanted := range t.wish.Models {
		if !slices.ContainsFunc(t.report.Loaded, func(m upstream.LoadedModel) bool { return sameModel(m, wanted) }) {
			return false
		}
	}
	return true
}

func sameModel(a, b upstream.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// serves tells whether the upstream serves one of the wished models now.
func (t *target) serves() bool {
	if t.report.Role != upstream.RoleServing {
		return false
	}
	return slices.ContainsFunc(t.report.Loaded, func(m upstream.LoadedModel) bool {
		return slices.ContainsFunc(t.wish.Models, func(w upstream.LoadedModel) bool { return w.Name == m.Name })
	})
}

// Claimed takes the outcome of a Claim.
func (o *Orderer) Claimed(id string, ticket Ticket, err error, now time.Time) []Action {
	t, found := o.targets[id]
	if !found || t.phase != phaseClaiming {
		return nil
	}
	if err != nil {
		t.phase = phaseIdle
		t.retryAt = now.Add(retryWait)
		return nil
	}
	t.phase = phaseSending
	order := upstream.Order{Fencing: ticket.Fencing, Role: upstream.RoleServing, Models: t.wish.Models}
	return []Action{Send{Upstream: id, Order: order, Ticket: ticket}}
}

// Sent takes the end of an order, carried out or not. What came of it shows in
// the next reports, so an order whose answer was lost is not special.
func (o *Orderer) Sent(id string, ticket Ticket, now time.Time) []Action {
	t, found := o.targets[id]
	if !found {
		return nil
	}
	t.phase = phaseReleasing
	t.reported = false
	t.retryAt = now.Add(settleWait)
	return []Action{Release{Upstream: id, Ticket: ticket}}
}

// Released takes the end of a Release.
func (o *Orderer) Released(id string) {
	if t, found := o.targets[id]; found {
		t.phase = phaseIdle
	}
}
