package entryvm

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/registrar"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/socketdialer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
)

// readiness answers the balancer's readiness checks: with 200 while the VM has a
// configuration and a list of upstreams and is not draining, and with 503 otherwise.
type readiness struct {
	configured      atomic.Bool
	upstreamsListed atomic.Bool
	draining        atomic.Bool
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.configured.Load() && r.upstreamsListed.Load() && !r.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// openIfReady releases the requests that the gateway holds during startup, once the VM has
// a configuration and a list of upstreams.
func (vm *VM) openIfReady() {
	if vm.readiness.configured.Load() && vm.readiness.upstreamsListed.Load() {
		vm.gateway.Open()
	}
}

// unlimitedStreamTime is how long a stream of a route without a timeout is assumed to last at most.
const unlimitedStreamTime = time.Hour

// configurationSink puts configurations from the store in force if they are newer than the
// current one.
type configurationSink struct {
	vm *VM
	// decodedVersion is that of the row that was decoded last. The row is read again and again, and decoding a
	// long configuration takes a small VM a noticeable time.
	decodedVersion uint64
}

// Replace implements watcher.Sink.
func (s *configurationSink) Replace(rows []rowstore.Row) { s.Change(rows) }

// Failed implements watcher.Sink.
func (s *configurationSink) Failed(error) {}

// Change implements watcher.Sink.
func (s *configurationSink) Change(rows []rowstore.Row) {
	for _, row := range rows {
		if row.Name == platform.RowConfiguration && !row.Deleted && row.Version != s.decodedVersion {
			s.apply(row)
			s.decodedVersion = row.Version // not before, as a row whose decoding panics is tried again
		}
	}
}

// apply puts the configuration of a row in force if it is valid and newer.
func (s *configurationSink) apply(row rowstore.Row) {
	configuration, err := platform.ParseConfiguration(row.Value)
	if err != nil {
		s.vm.logger.Error("malformed configuration ignored, the previous one stays in force",
			"error", err, "row", row.Version)
		return
	}
	if current := s.vm.gateway.Table(); current != nil && current.Version() >= configuration.Version {
		return
	}
	table := router.NewTable(configuration)
	s.vm.setQuotas(table)
	s.vm.gateway.SetTable(table)
	s.vm.versions.SetLongestStream(table.LongestStream(unlimitedStreamTime))
	s.vm.readiness.configured.Store(true)
	s.vm.openIfReady()
	s.vm.limitIdleConnections()
	s.vm.logger.Info("configuration in force", "version", configuration.Version, "row", row.Version,
		"routes", len(configuration.Routes), "services", len(configuration.Services))
}

// upstreamSink updates the list of upstreams from the store and passes it to the VM's parts.
type upstreamSink struct {
	vm *VM

	mu           sync.Mutex
	registrar    *registrar.Registrar
	addresses    map[string]string
	storeFailed  bool        // whether a call has failed since the whole table was read
	removalTimer *time.Timer // calls publish when missing entries are to be removed
}

// Replace implements watcher.Sink.
func (s *upstreamSink) Replace(rows []rowstore.Row) {
	ids := make(map[string]bool, len(rows))
	for _, row := range rows {
		ids[row.Name] = true
	}
	s.mu.Lock()
	s.registrar.MarkMissingExcept(ids, time.Now())
	isBack := s.storeFailed
	s.storeFailed = false
	s.mu.Unlock()
	if isBack {
		s.vm.identifier.Recheck()
	}
	s.Change(rows)
}

// Failed implements watcher.Sink.
func (s *upstreamSink) Failed(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailed = true
	s.registrar.RecordOutage(time.Now())
	s.vm.placer.RecordStoreOutage(s.registrar.Outage())
}

// Change implements watcher.Sink.
func (s *upstreamSink) Change(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	first, listed := !s.vm.readiness.upstreamsListed.Load(), 0
	for _, row := range rows {
		if row.Deleted {
			s.vm.logger.Info("upstream gone", "upstream", row.Name, "row", row.Version)
			s.registrar.MarkMissing(row.Name, now)
			continue
		}
		u, err := platform.ParseUpstream(row)
		if err != nil {
			s.vm.logger.Warn("malformed upstream entry ignored", "error", err, "row", row.Version)
			continue
		}
		if s.isLoopbackOnly(u.Address) {
			s.vm.logger.Warn("upstream entry with a loopback address ignored", "upstream", u.ID, "address", u.Address)
			continue
		}
		if !s.registrar.Update(u, row.Version) {
			continue // not newer than the known entry
		}
		if first {
			listed++
			continue
		}
		s.vm.logger.Info("upstream listed",
			"upstream", u.ID, "service", u.Service, "software", u.Version, "leaving", u.Draining, "row", row.Version)
	}
	if first {
		s.vm.logger.Info("upstreams listed at the start", "upstreams", listed)
	}
	s.publish(now)
}

// isLoopbackOnly returns whether an address is a loopback address although this VM has another one: no
// upstream can be reached there by all VMs.
func (s *upstreamSink) isLoopbackOnly(address string) bool {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	self, err := netip.ParseAddr(s.vm.settings.IP)
	return err == nil && at.Addr().IsLoopback() && !self.IsLoopback()
}

// publish passes the list of upstreams on, and closes idle connections to addresses that
// are no longer listed or now belong to another upstream. The caller must hold mu.
func (s *upstreamSink) publish(now time.Time) {
	list := s.registrar.Upstreams(now)
	s.vm.placer.SetUpstreams(list)
	s.vm.versions.SetUpstreams(list, now)
	addresses, ids := make(map[string]string, len(list)), make(map[string]bool, len(list))
	for _, u := range list {
		addresses[u.Address], ids[u.ID] = u.ID, true
	}
	s.vm.finder.SetUpstreams(addresses)
	s.vm.gateway.RetainUpstreams(ids)
	for address, id := range s.addresses {
		if addresses[address] != id {
			s.vm.forwarder.CloseIdle(address)
		}
	}
	s.vm.forwarder.RetainAddresses(addresses)
	s.addresses = addresses
	s.scheduleRemoval(now)
	s.vm.readiness.upstreamsListed.Store(true)
	s.vm.openIfReady()
}

// scheduleRemoval schedules the next publish for the time at which missing entries are
// removed from the list. The caller must hold mu.
func (s *upstreamSink) scheduleRemoval(now time.Time) {
	if s.removalTimer != nil {
		s.removalTimer.Stop()
	}
	due := s.registrar.NextRemoval()
	if due.IsZero() {
		return
	}
	s.removalTimer = time.AfterFunc(due.Sub(now), func() {
		s.vm.tasks.Guard("list of upstreams", func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.publish(time.Now())
		})
	})
}

// storeTransport returns a transport for calls to the store and to other VMs. Its short
// timeouts make it detect unresponsive connections early.
func storeTransport() http.RoundTripper {
	transport := transporter.New(socketdialer.New(storeDialTimeout).DialContext)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdleStoreConnections, storeIdleTimeout
	return transport
}

const (
	storeDialTimeout        = 700 * time.Millisecond
	maxIdleStoreConnections = 8
	storeIdleTimeout        = 20 * time.Second
)
