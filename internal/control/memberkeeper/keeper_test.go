package memberkeeper_test

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

var start = time.Unix(1_700_000_000, 0)

func row(t *testing.T, vm string, boot, version uint64) rowstore.Row {
	t.Helper()
	value, err := cbor.Marshal(memberkeeper.Member{VM: vm, Boot: boot})
	qt.Assert(t, err, qt.IsNil)
	return rowstore.Row{Key: rowstore.Key{Table: memberkeeper.Table, Name: vm}, Value: value, Version: version}
}

func newKeeper() *memberkeeper.Keeper {
	return memberkeeper.New(nil, memberkeeper.Member{VM: "a", Boot: 1}, nil, slog.New(slog.DiscardHandler))
}

// observe reads the list at each second up to the last, with rows whose version
// grows only for VMs that beat.
func observe(t *testing.T, k *memberkeeper.Keeper, from, to int, beating ...string) {
	t.Helper()
	for second := from; second <= to; second++ {
		rows := []rowstore.Row{row(t, "b", 2, 1), row(t, "c", 3, 1)}
		for i := range rows {
			if slices.Contains(beating, rows[i].Name) {
				rows[i].Version += uint64(second)
			}
		}
		k.Observe(rows, start.Add(time.Duration(second)*time.Second))
	}
}

func expectLives(t *testing.T, k *memberkeeper.Keeper, second int, vm string, boot uint64, want bool) {
	t.Helper()
	got := k.Lives(vm, boot, start.Add(time.Duration(second)*time.Second))
	qt.Check(t, got, qt.Equals, want, qt.Commentf("%s", vm))
}

func TestAVMWhoseRowStopsChangingIsGone(t *testing.T) {
	k := newKeeper()
	observe(t, k, 1, 6, "b")
	expectLives(t, k, 6, "b", 2, true)
	expectLives(t, k, 6, "c", 3, false)
	expectLives(t, k, 6, "b", 1, false)
	expectLives(t, k, 6, "a", 1, true)
	successors := k.Successors(start.Add(6 * time.Second))
	slices.Sort(successors)
	qt.Check(t, successors, qt.DeepEquals, []string{"a", "b"})
}

func TestNobodyIsTakenToBeGoneInAnOutageOfTheStore(t *testing.T) {
	k := newKeeper()
	observe(t, k, 1, 2, "b", "c")
	observe(t, k, 12, 12)
	expectLives(t, k, 12, "b", 2, true)
	expectLives(t, k, 12, "c", 3, true)
}

func TestAProcessIsReplacedByALaterOneOfItsVM(t *testing.T) {
	k := newKeeper()
	k.Observe([]rowstore.Row{row(t, "b", 2, 10)}, start)
	expect := func(vm string, boot, version uint64, want bool) {
		t.Helper()
		qt.Check(t, k.Replaced(vm, boot, version), qt.Equals, want)
	}
	expect("b", 1, 9, true)
	expect("b", 1, 11, false) // it wrote after the row, which is yet to change
	expect("b", 2, 9, false)
	expect("other", 1, 9, false)
	expect("a", 7, 99, true) // this VM's own process before
	expect("a", 1, 99, false)
}
