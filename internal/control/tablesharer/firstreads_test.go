package tablesharer_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/tablesharer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: two first reads of a VM end at almost the same time, its watcher uses one and the VM shares the other,
// which the feed neither confirms nor changes any more.
func TestContentIsSharedAfterTwoFirstReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &region{t: t, ctx: t.Context(), group: &sync.WaitGroup{}, rows: rowemulator.New(), network: standin.NewNetwork()}
		for _, name := range []string{"row0", "row1", "row2"} {
			r.put(name, "first")
		}
		names := weigher.Order(table, []string{"a", "b", "c"})
		store := &observedStore{Store: r.rows}
		store.arrival.Store(int64(time.Second))
		reader := newSharerOf(r, store, names[0])
		used := r.readTwice(reader)

		store.arrival.Store(0)
		time.Sleep(settlePeriod)
		r.put("row0", "second")
		_, err := reader.Changes(t.Context(), table, used.Version, time.Second)
		qt.Assert(t, err, qt.IsNil)
		r.expectShares(reader, names)
	})
}

// readTwice reads the whole table twice at the same time, while another table changes, and returns the answer that
// came first.
func (r *region) readTwice(s *tablesharer.Sharer) rowstore.Snapshot {
	r.t.Helper()
	var group sync.WaitGroup
	answers := make(chan rowstore.Snapshot, 2)
	for range cap(answers) {
		group.Go(func() {
			all, _, err := s.Range(r.ctx, table, "", "", "")
			qt.Check(r.t, err, qt.IsNil)
			answers <- all
		})
		time.Sleep(2 * roundTrip)
		_, err := r.rows.Apply(rowstore.Tx{Puts: []rowstore.Put{{Key: rowstore.Key{Table: "other", Name: "row"}}}})
		qt.Assert(r.t, err, qt.IsNil)
	}
	group.Wait()
	return <-answers
}

// newSharerOf returns the sharer of a VM.
func newSharerOf(r *region, store rowstore.Store, name string) *tablesharer.Sharer {
	transport := &http.Transport{DialContext: r.network.Dial, DisableCompression: true}
	r.t.Cleanup(transport.CloseIdleConnections)
	return tablesharer.New(store, table, "", name, transport, fleetIdentity(1), counter.New(metrics.NewSet()),
		slog.New(slog.DiscardHandler))
}

// expectShares expects that the last of three VMs, in the order of the readers, gets the table from the first one.
func (r *region) expectShares(reader *tablesharer.Sharer, names []string) {
	r.t.Helper()
	stop := r.network.Serve(addressOf(names[0]), reader)
	defer stop()
	store := &observedStore{Store: r.rows}
	s := newSharerOf(r, store, names[2])
	_, _, err := s.Range(r.ctx, table, "", "", "")
	qt.Assert(r.t, err, qt.IsNil)
	s.SetPeers(map[string]string{names[0]: addressOf(names[0]), names[1]: addressOf(names[1])})
	store.calls.Store(0)
	ctx, cancel := context.WithTimeout(r.ctx, settlePeriod)
	defer cancel()
	_, _, err = s.Range(ctx, table, "", "", "")
	qt.Assert(r.t, err, qt.IsNil)
	qt.Check(r.t, store.calls.Load(), qt.Equals, int64(0), qt.Commentf("the follower has read the store"))
}
