package batchkeeper_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// storePageBytes is the size of a full page of the store.
const storePageBytes = 1 << 20

// readMeter is a store that counts the bytes of the values that are read, by table.
type readMeter struct {
	rowstore.Store
	bytes map[string]int
}

func newReadMeter(store rowstore.Store) *readMeter {
	return &readMeter{Store: store, bytes: map[string]int{}}
}

// Range implements rowstore.Store.
func (m *readMeter) Range(
	ctx context.Context, table, part, from, to string,
) (rowstore.Snapshot, string, error) {
	page, next, err := m.Store.Range(ctx, table, part, from, to)
	for _, row := range page.Rows {
		m.bytes[table] += len(row.Value)
	}
	return page, next, err //nolint:wrapcheck // a test
}

// expectRead checks that at most so many bytes of a table have been read.
func (m *readMeter) expectRead(t *testing.T, table string, most int) {
	t.Helper()
	qt.Check(t, m.bytes[table] <= most, qt.IsTrue, qt.Commentf("%d bytes of %s were read, at most %d are needed",
		m.bytes[table], table, most))
}

// storeResults accepts the job "j" and commits a result of a size for each item.
func storeResults(
	ctx context.Context, t *testing.T, store rowstore.Store, items, size int,
) batchkeeper.VersionedRecord {
	t.Helper()
	k := newKeeper(store, ownerA)
	stored := submit(ctx, t, k, items)
	var results []batchkeeper.Result
	for n := range items {
		results = append(results, result(fmt.Sprint("item", n), strings.Repeat("x", size)))
	}
	commitAll(ctx, t, k, stored, results)
	return stored
}

// Guards against: each page of a job's results costs a read of all later ones, and doesn't come in time
// over a narrow link.
func TestPageOfResultsIsReadWithoutLaterOnes(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		storeResults(ctx, t, store, 60, 60_000)
		meter := newReadMeter(store)
		page, err := newKeeper(meter, ownerB).Results(ctx, batchkeeper.Caller{}, "j", 20)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, page.Results, qt.HasLen, 15)
		qt.Check(t, page.Results[0].Item, qt.Equals, "item20")
		qt.Check(t, page.Complete, qt.IsFalse)
		meter.expectRead(t, "jobResults", storePageBytes)
	})
}

// acceptLargeJob accepts the job "j", whose content has about 4 MB, and returns its record.
func acceptLargeJob(ctx context.Context, t *testing.T, store rowstore.Store) batchkeeper.VersionedRecord {
	t.Helper()
	s := submission("j", 200)
	for i := range s.Items {
		s.Items[i].Body = []byte(strings.Repeat("x", 20_000))
	}
	accept(ctx, t, store, s)
	stored, err := newKeeper(store, ownerB).Record(ctx, "j")
	qt.Assert(t, err, qt.IsNil)
	return stored
}

// bytesIn returns the bytes of the values in a table.
func bytesIn(store *rowemulator.Store, table string) int {
	bytes := 0
	for _, row := range store.Rows(table) {
		bytes += len(row.Value)
	}
	return bytes
}

// Guards against: over a narrow link, each lost page of a large job makes its new owner read those before it
// again, so that it may never have them all.
func TestLostPageIsReadAgainAlone(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		stored := acceptLargeJob(ctx, t, store)
		reads := 0
		store.SetFaultFunc(func(rowemulator.Call) (bool, error) {
			reads++
			if reads%2 == 0 {
				return false, rowstore.ErrInDoubt
			}
			return true, nil
		})
		meter := newReadMeter(store)
		items, err := newKeeper(meter, ownerB).Items(ctx, stored.Record)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, items, qt.HasLen, 200)
		meter.expectRead(t, "jobContent", bytesIn(store, "jobContent"))
	})
}

// Guards against: a read of one item's body costs a read of all items of its job, and doesn't come in time over
// a narrow link.
func TestBodyIsReadWithoutLaterItems(t *testing.T) {
	expect := func(name, item string, most func(content int) int) {
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
				acceptLargeJob(ctx, t, store)
				meter := newReadMeter(store)
				body, err := newKeeper(meter, ownerB).Body(ctx, batchkeeper.Caller{}, "j", item)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, body, qt.HasLen, 20_000)
				meter.expectRead(t, "jobContent", most(bytesIn(store, "jobContent")))
			})
		})
	}
	expect("on the first page", "item3", func(int) int { return storePageBytes })
	expect("on two pages", "item52", func(int) int { return 2 * storePageBytes })
	expect("on the last page", "item199", func(content int) int { return content })
}

// putIncompleteCopy writes a copy of a job's content under a name, without its last row.
func putIncompleteCopy(
	ctx context.Context, t *testing.T, store rowstore.Store, name string, s batchkeeper.Submission,
) {
	t.Helper()
	encoded, err := cbor.Marshal(s.Items)
	qt.Assert(t, err, qt.IsNil)
	rows := slices.Collect(slices.Chunk(encoded, 64<<10))
	for n, value := range rows[:len(rows)-1] {
		key := rowstore.Key{
			Table: "jobContent", Part: fmt.Sprintf("jobs-%02d", batchkeeper.PartOf(s.ID)),
			Name: fmt.Sprintf("%s/%s/%06d", s.ID, name, n),
		}
		_, err := store.Transact(ctx, rowstore.Tx{Puts: []rowstore.Put{{Key: key, Value: value}}})
		qt.Assert(t, err, qt.IsNil)
	}
}

// Guards against: a copy of a large job's content that wasn't accepted is taken for the accepted one, as a
// body is read before the end of the copy is known.
func TestBodyIsThatOfTheAcceptedCopy(t *testing.T) {
	for _, name := range []string{"cAAAAAAAAAA", "cZZZZZZZZZZ"} {
		t.Run("beside "+name, func(t *testing.T) {
			runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
				other := submission("j", 200)
				for i := range other.Items {
					other.Items[i].Body = []byte(strings.Repeat("y", 20_000))
				}
				putIncompleteCopy(ctx, t, store, name, other)
				acceptLargeJob(ctx, t, store)
				for _, item := range []string{"item3", "item52", "item199"} {
					body, err := newKeeper(store, ownerB).Body(ctx, batchkeeper.Caller{}, "j", item)
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, strings.Trim(string(body), "x"), qt.Equals, "", qt.Commentf("%s", item))
				}
			})
		})
	}
}

// Guards against: an item of a job is read although rows before it are missing.
func TestBodyBehindAMissingRowIsCorrupt(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		acceptLargeJob(ctx, t, store)
		rows := store.Rows("jobContent")
		_, err := store.Transact(ctx, rowstore.Tx{Removes: []rowstore.Key{rows[2].Key}})
		qt.Assert(t, err, qt.IsNil)
		_, err = newKeeper(store, ownerB).Body(ctx, batchkeeper.Caller{}, "j", "item20")
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrCorrupt)
	})
}

// Guards against: a new owner reads the whole output of a job, and each part of it several times, to learn which
// items have a result.
func TestLoadReadsNoRestOfResults(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		stored := storeResults(ctx, t, store, 8, batchkeeper.MaxOutput)
		meter := newReadMeter(store)
		loaded, err := newKeeper(meter, ownerB).Load(ctx, stored.Record)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, loaded.HasResult, qt.HasLen, 8)
		meter.expectRead(t, "jobResults", bytesIn(store, "jobResults"))
		meter.expectRead(t, "jobResultRest", 0)
	})
}
