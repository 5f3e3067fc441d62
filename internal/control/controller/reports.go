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

// watch takes over the reports of the listed upstreams that rendezvous hashing
// gives to this VM.
func (s *upstreams) watch(keepers map[string][]string) {
	before := s.watched
	s.watched = map[string]*watched{}
	for _, d := range s.c.config.doc.Deployments {
		for _, vm := range s.c.list {
			mine := vm.Kind == vmlister.KindUpstream && vm.Pool == d.Pool && d.Serves(vm.Region) &&
				publisher.Owner(vm.ID, keepers[vm.Domain]) == s.c.Location.VM
			if !mine {
				continue
			}
			w, found := before[vm.ID]
			if !found {
				w = &watched{}
			}
			w.vm, w.kind = vm, d.Kind
			s.watched[vm.ID] = w
		}
	}
}

// keeps tells whether this VM looks after a listed upstream.
func (s *upstreams) keeps(vm vmlister.VM) bool {
	_, found := s.watched[vm.ID]
	return found
}

// addressOf returns the address of an upstream that this VM looks after.
func (s *upstreams) addressOf(id string) string {
	if w, found := s.watched[id]; found {
		return w.vm.Address
	}
	return ""
}

// readReport asks an upstream for its load and what it has in memory.
func (s *upstreams) readReport(w *watched, now time.Time) {
	if w.reporting || now.Before(w.reportAt) {
		return
	}
	w.reporting = true
	w.reportAt = now.Add(reportPeriod)
	vm, kind := w.vm, w.kind
	s.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := s.fetchReport(ctx, vm.Address)
		return func(time.Time) {
			w.reporting = false
			if err != nil {
				s.c.Counters.Count("report_failures_total")
				return
			}
			s.reportRead(vm.ID, kind, report)
		}
	})
}

func (s *upstreams) fetchReport(ctx context.Context, address string) (upstream.LoadReport, error) {
	answer, err := s.c.Relayer.Call(ctx, relayer.Attempt{
		ID: s.c.Location.VM + "-report", Address: address, Method: http.MethodGet, Path: upstream.PathLoad,
	}, true)
	if err != nil {
		return upstream.LoadReport{}, fmt.Errorf("read load report: %w", err)
	}
	var report upstream.LoadReport
	if err := json.Unmarshal(answer.Body(), &report); err != nil {
		return report, fmt.Errorf("decode load report: %w", err)
	}
	return report, nil
}

func (s *upstreams) reportRead(id string, kind deployer.Kind, report upstream.LoadReport) {
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

// setState keeps a state, and tells the domain if it has changed and this VM
// is the one that looks after the upstream.
func (s *upstreams) setState(id string, state publisher.UpstreamState, tell bool) {
	before, known := s.states[id]
	if known && before.Equal(state) {
		return
	}
	s.states[id] = state
	if u := s.byID[id]; u != nil {
		u.Gauge().SetDraining(state.Draining())
	}
	s.c.stale = true
	s.c.Counters.Count("upstream_changes_total")
	if tell {
		s.broadcastStates([]string{id})
	}
}

func (s *upstreams) broadcastStates(ids []string) {
	if message := s.statesOf(ids); len(message.States) > 0 {
		s.c.relay(message)
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

func (s *upstreams) statesReceived(m peer.UpstreamStates) {
	for _, state := range m.States {
		if _, own := s.watched[state.Upstream]; !own {
			s.setState(state.Upstream, publisher.NewUpstreamState(state.Leaving, state.Models), false)
		}
	}
}

// leavingSeen takes an upstream's own refusal because it is leaving, which
// comes before any report of it.
func (s *upstreams) leavingSeen(id string) {
	state := s.states[id]
	s.setState(id, publisher.NewUpstreamState(true, state.Models()), true)
}
