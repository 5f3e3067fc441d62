package bootstrapper_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/bootstrapper"
	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
)

// table stores the newest copy that it was offered.
type table struct {
	mu    sync.Mutex
	known watcher.Copy
}

func (t *table) Copy(time.Time) (watcher.Copy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known, t.known.Version > 0
}

func (t *table) Offer(c watcher.Copy, _ time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Version <= t.known.Version {
		return false
	}
	t.known = c
	return true
}

func (t *table) HasData() bool {
	_, known := t.Copy(time.Time{})
	return known
}

func newBootstrapper(tables map[string]*table) *bootstrapper.Bootstrapper {
	return newBootstrapperOf(newFleet(0), tables)
}

// newFleet returns what a VM knows of its fleet; an identity of 0 is unknown.
func newFleet(identity uint64) *fleetidentifier.Fleet {
	fleet := fleetidentifier.NewFleet(counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler))
	if identity != 0 {
		fleet.Adopt(identity)
	}
	return fleet
}

func newBootstrapperOf(
	fleet *fleetidentifier.Fleet, tables map[string]*table, options ...bootstrapper.Option,
) *bootstrapper.Bootstrapper {
	logger := slog.New(slog.DiscardHandler)
	guard := supervisor.New(counter.New(metrics.NewSet()), logger)
	b := bootstrapper.New(&http.Transport{DisableKeepAlives: true}, fleet, guard, logger, options...)
	for name, followed := range tables {
		b.AddTable(name, followed)
	}
	return b
}

// listen starts a server that runs until the end of the test, and returns its address.
func listen(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func copyOf(version uint64, row string) watcher.Copy {
	return watcher.Copy{
		Rows: []watcher.CopiedRow{{Name: row, Value: []byte(row), Version: version}}, Version: version, Age: time.Minute,
	}
}

// startPeer starts a peer VM that has one copy of the table t, and returns its address.
func startPeer(t *testing.T, c watcher.Copy) netip.AddrPort {
	t.Helper()
	return listen(t, newBootstrapper(map[string]*table{"t": {known: c}}))
}

// expectStart starts a VM that knows some peers, and compares the content that it obtains.
func expectStart(t *testing.T, peers []netip.AddrPort, want watcher.Copy) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	local := &table{}
	b := newBootstrapper(map[string]*table{"t": local})
	for _, address := range peers {
		b.AddPeer(address)
	}
	b.Run(ctx)
	got, _ := local.Copy(time.Now())
	qt.Assert(t, got, qt.DeepEquals, want)
}

func TestVMStartsWithPeerCopy(t *testing.T) {
	expectStart(t, []netip.AddrPort{startPeer(t, copyOf(7, "a"))}, copyOf(7, "a"))
}

func TestNewestPeerCopyIsUsed(t *testing.T) {
	expectStart(t, []netip.AddrPort{
		startPeer(t, copyOf(5, "old")), startPeer(t, copyOf(9, "new")), startPeer(t, copyOf(7, "middle")),
	}, copyOf(9, "new"))
}

// Peers that have just started have no content yet, or don't listen yet.
func TestPeersThatCannotAnswerAreSkipped(t *testing.T) {
	broken := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("no knowledge")) })
	absent := httptest.NewServer(broken)
	absent.Close()
	expectStart(t, []netip.AddrPort{
		startPeer(t, watcher.Copy{}), listen(t, broken),
		netip.MustParseAddrPort(strings.TrimPrefix(absent.URL, "http://")), startPeer(t, copyOf(7, "a")),
	}, copyOf(7, "a"))
}

func TestNoPeerIsQueriedOnceStoreHasAnswered(t *testing.T) {
	asked := 0
	address := listen(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked++ }))
	b := newBootstrapper(map[string]*table{"t": {known: copyOf(3, "a")}})
	b.AddPeer(address)
	b.Run(t.Context())
	qt.Check(t, asked, qt.Equals, 0)
}
