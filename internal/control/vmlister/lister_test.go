package vmlister_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// fixture is a store and a Lister that reads from it.
type fixture struct {
	store  *rowemulator.Store
	lister *vmlister.Lister
	log    bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{store: rowemulator.New()}
	f.lister = vmlister.New(f.store, slog.New(slog.NewTextHandler(&f.log, nil)))
	return f
}

// expectList calls VMs with the version that the caller has, compares the list and returns
// its version.
func (f *fixture) expectList(t *testing.T, after uint64, want ...vmlister.VM) uint64 {
	t.Helper()
	got, version, err := f.lister.VMs(t.Context(), after)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, want)
	return version
}

func (f *fixture) write(t *testing.T, vms ...vmlister.VM) {
	t.Helper()
	qt.Assert(t, vmlister.Write(t.Context(), f.store, vms), qt.IsNil)
}

var (
	entry  = vmlister.VM{ID: "entry-1", Kind: vmlister.KindEntry, Region: "pwani", Domain: "a", Address: "127.0.0.1:1"}
	engine = vmlister.VM{ID: "engine-1", Kind: vmlister.KindUpstream, Region: "pwani", Domain: "a", Address: "127.0.0.1:2"}
)

func TestListIsReadAgainOnlyAfterAChange(t *testing.T) {
	f := newFixture()
	f.write(t, engine, entry)
	version := f.expectList(t, 0, engine, entry)
	_, _, err := f.lister.VMs(t.Context(), version)
	qt.Check(t, err, qt.ErrorIs, vmlister.ErrUnchanged)
	f.write(t, entry)
	f.expectList(t, version, entry)
}

func TestListIsReadAgainOnceTheHistoryIsGone(t *testing.T) {
	f := newFixture()
	f.write(t, entry)
	version := f.expectList(t, 0, entry)
	f.write(t, entry, engine)
	f.store.DropHistory()
	f.expectList(t, version, engine, entry)
}

func TestMalformedRowHidesNoOther(t *testing.T) {
	f := newFixture()
	f.write(t, entry)
	_, err := f.store.Apply(rowstore.Tx{Puts: []rowstore.Put{
		{Key: rowstore.Key{Table: "fleet", Name: "broken"}, Value: []byte("{")},
	}})
	qt.Assert(t, err, qt.IsNil)
	f.expectList(t, 0, entry)
	qt.Check(t, f.log.String(), qt.Contains, "row=fleet//broken")
}

func TestLongListTakesSeveralTransactions(t *testing.T) {
	f := newFixture()
	var vms []vmlister.VM
	for n := range 3 * rowstore.MaxEntries {
		vms = append(vms, vmlister.VM{ID: fmt.Sprintf("entry-%03d", n), Kind: vmlister.KindEntry})
	}
	f.write(t, vms...)
	f.expectList(t, 0, vms...)
}
