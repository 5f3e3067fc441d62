package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// pollOwned selects the listed upstreams whose load reports this VM reads: those that
// rendezvous hashing assigns to it.
func (s *upstreams) pollOwned(candidates map[string][]string) {
	previous := s.polled
	s.polled = map[string]*polledUpstream{}
	for _, d := range s.c.config.document.Deployments {
		for _, vm := range s.c.list {
			owned := vm.Kind == vmlister.KindUpstream && vm.Pool == d.Pool && d.Serves(vm.Region) &&
				publisher.Owner(vm.ID, candidates[vm.Domain]) == s.c.Location.VM
			if !owned {
				continue
			}
			p, found := previous[vm.ID]
			if !found {
				p = &polledUpstream{}
			}
			p.vm, p.kind = vm, d.Kind
			s.polled[vm.ID] = p
		}
	}
}

// polls reports whether this VM owns a listed upstream and reads its load reports.
func (s *upstreams) polls(vm vmlister.VM) bool {
	_, found := s.polled[vm.ID]
	return found
}

// addressOf returns the address of an upstream that this VM owns, or "".
func (s *upstreams) addressOf(id string) string {
	if p, found := s.polled[id]; found {
		return p.vm.Address
	}
	return ""
}

// readReport reads an upstream's load report, at most once per reportPeriod.
func (s *upstreams) readReport(p *polledUpstream, now time.Time) {
	if p.reportPending || now.Before(p.nextReportAt) {
		return
	}
	p.reportPending = true
	p.nextReportAt = now.Add(reportPeriod)
	vm, kind := p.vm, p.kind
	s.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := s.fetchReport(ctx, vm.Address)
		return func(time.Time) {
			p.reportPending = false
			if err != nil {
				s.c.Counters.Count("report_failures_total")
				return
			}
			s.handleReport(vm.ID, kind, report)
		}
	})
}

func (s *upstreams) fetchReport(ctx context.Context, address string) (upstream.LoadReport, error) {
	response, err := s.c.Relayer.Call(ctx, relayer.Attempt{
		ID: s.c.Location.VM + "-report", Address: address, Method: http.MethodGet, Path: upstream.PathLoad,
	}, true)
	if err != nil {
		return upstream.LoadReport{}, fmt.Errorf("read load report: %w", err)
	}
	var report upstream.LoadReport
	if err := json.Unmarshal(response.Body(), &report); err != nil {
		return report, fmt.Errorf("decode load report: %w", err)
	}
	return report, nil
}

func (s *upstreams) handleReport(id string, kind deployer.Kind, report upstream.LoadReport) {
	if u := s.byID[id]; u != nil {
		u.Gauge().SetReportedLoad(report.Running + report.Waiting)
	}
	s.c.orders.core.ReceiveReport(id, report)
	var models []string
	if kind == deployer.KindEngine && report.Role == upstream.RoleServing {
		for _, model := range report.Loaded {
			models = append(models, model.Name)
		}
	}
	s.setState(id, publisher.NewUpstreamState(report.Leaving, models), true)
}

// setState stores an upstream's state. If the state has changed and announce is set, it
// sends the state to the failure domain.
func (s *upstreams) setState(id string, state publisher.UpstreamState, announce bool) {
	before, known := s.states[id]
	if known && before.Equal(state) {
		return
	}
	s.states[id] = state
	if u := s.byID[id]; u != nil {
		u.Gauge().SetDraining(state.Draining())
	}
	s.c.viewStale = true
	s.c.Counters.Count("upstream_changes_total")
	if announce {
		s.broadcastStates([]string{id})
	}
}

func (s *upstreams) broadcastStates(ids []string) {
	if message := s.statesOf(ids); len(message.States) > 0 {
		s.c.sendToDomain(message)
	}
}

func (s *upstreams) statesOf(ids []string) peer.UpstreamStates {
	var message peer.UpstreamStates
	for _, id := range ids {
		state, known := s.states[id]
		if known {
			message.States = append(message.States,
				peer.UpstreamState{Upstream: id, Leaving: state.Draining(), Models: state.Models()})
		}
	}
	return message
}

func (s *upstreams) receiveStates(m peer.UpstreamStates) {
	for _, state := range m.States {
		if _, owned := s.polled[state.Upstream]; !owned {
			s.setState(state.Upstream, publisher.NewUpstreamState(state.Leaving, state.Models), false)
		}
	}
}

// handleDraining marks an upstream as draining once a response of its own says so, which
// happens before its next load report.
func (s *upstreams) handleDraining(id string) {
	state := s.states[id]
	s.setState(id, publisher.NewUpstreamState(true, state.Models()), true)
}
