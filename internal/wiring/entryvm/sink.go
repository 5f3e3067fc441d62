package entryvm

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/registrar"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
)

// readiness answers the balancer.
type readiness struct {
	configured atomic.Bool
	listed     atomic.Bool
	leaving    atomic.Bool
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.configured.Load() && r.listed.Load() && !r.leaving.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// openIfReady lets the requests through that came before the VM knew enough to
// serve them.
func (vm *VM) openIfReady() {
	if vm.readiness.configured.Load() && vm.readiness.listed.Load() {
		vm.gateway.Open()
	}
}

// configurationSink puts configurations into force, never an older one after a
// newer.
type configurationSink struct {
	vm *VM
}

// Replace implements watcher.Sink.
func (s *configurationSink) Replace(rows []rowstore.Row) { s.Change(rows) }

// Failed implements watcher.Sink.
func (s *configurationSink) Failed(error) {}

// Change implements watcher.Sink.
func (s *configurationSink) Change(rows []rowstore.Row) {
	for _, row := range rows {
		if row.Name == platform.RowConfiguration && !row.Deleted {
			s.adopt(row)
		}
	}
}

func (s *configurationSink) adopt(row rowstore.Row) {
	configuration, err := platform.ParseConfiguration(row.Value)
	if err != nil {
		s.vm.logger.Error("configuration not understood, the one before stays", "error", err, "row", row.Version)
		return
	}
	if table := s.vm.gateway.Table(); table != nil && table.Version() >= configuration.Version {
		return
	}
	s.vm.gateway.SetTable(router.NewTable(configuration))
	s.vm.readiness.configured.Store(true)
	s.vm.openIfReady()
	s.vm.limitIdle()
	s.vm.logger.Info("configuration in force", "version", configuration.Version, "row", row.Version,
		"routes", len(configuration.Routes), "services", len(configuration.Services))
}

// upstreamSink keeps the list of upstreams.
type upstreamSink struct {
	vm *VM

	mu        sync.Mutex
	registrar *registrar.Registrar
	addresses map[string]string
	timer     *time.Timer // publishes the list when it changes by itself
}

// Replace implements watcher.Sink.
func (s *upstreamSink) Replace(rows []rowstore.Row) {
	ids := make(map[string]bool, len(rows))
	for _, row := range rows {
		ids[row.Name] = true
	}
	s.mu.Lock()
	s.registrar.MarkMissingExcept(ids, time.Now())
	s.mu.Unlock()
	s.Change(rows)
}

// Failed implements watcher.Sink.
func (s *upstreamSink) Failed(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.RecordOutage(time.Now())
}

// Change implements watcher.Sink.
func (s *upstreamSink) Change(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	first, listed := !s.vm.readiness.listed.Load(), 0
	for _, row := range rows {
		if row.Deleted {
			s.vm.logger.Info("upstream gone", "upstream", row.Name, "row", row.Version)
			s.registrar.MarkMissing(row.Name, now)
			continue
		}
		u, err := platform.ParseUpstream(row)
		if err != nil {
			s.vm.logger.Warn("upstream entry left out", "error", err, "row", row.Version)
			continue
		}
		if !s.registrar.Update(u, row.Version) {
			continue // read again, and as it was
		}
		if first {
			listed++
			continue
		}
		s.vm.logger.Info("upstream listed", "upstream", u.ID, "service", u.Service, "leaving", u.Draining, "row", row.Version)
	}
	if first {
		s.vm.logger.Info("upstreams listed at the start", "upstreams", listed)
	}
	s.publish(now)
}

// publish hands the list on, and drops idle connections to addresses that are
// no longer on it.
func (s *upstreamSink) publish(now time.Time) {
	list := s.registrar.Upstreams(now)
	s.vm.placer.SetUpstreams(list)
	addresses, ids := make(map[string]string, len(list)), make(map[string]bool, len(list))
	for _, u := range list {
		addresses[u.Address], ids[u.ID] = u.ID, true
	}
	s.vm.gateway.RetainUpstreams(ids)
	for address, id := range s.addresses {
		if addresses[address] != id {
			s.vm.forwarder.CloseIdle(address)
		}
	}
	s.addresses = addresses
	s.publishLater(now)
	s.vm.readiness.listed.Store(true)
	s.vm.openIfReady()
}

// publishLater publishes the list again when entries that are missing are taken
// to be gone.
func (s *upstreamSink) publishLater(now time.Time) {
	if s.timer != nil {
		s.timer.Stop()
	}
	due := s.registrar.NextRemoval()
	if due.IsZero() {
		return
	}
	s.timer = time.AfterFunc(due.Sub(now), func() {
		s.vm.tasks.Guard("list of upstreams", func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.publish(time.Now())
		})
	})
}

// storeTransport reaches the store with short waits, so that a connection that
// went silent is given up soon.
func storeTransport() http.RoundTripper {
	dialer := &net.Dialer{
		Timeout:         storeDialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: storeIdleTime,
		DisableCompression: true,
	}
}

const (
	storeDialTime    = 700 * time.Millisecond
	storeConnections = 8
	storeIdleTime    = 20 * time.Second
)
