package batchkeeper

import (
	"context"
	"crypto/rand"
	"fmt"
	"regexp"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// A job's content is its encoded items, split into rows. Content that is larger than one
// transaction is written before the transaction that accepts the job, when nobody knows yet
// whether the job exists: the caller may have submitted it to two VMs, or a write of an
// earlier submission may still take effect. So each call of Submit writes rows of its own, a
// copy of the content with a random name:
//
//	j1/cKQ4.../000000  written first, by the call that was accepted
//	j1/cKQ4.../000001  written in the transaction that accepted the job
//	j1/cZ7X.../000000  written first, by a call that found the job and then ended
//
// The last row of a copy is only written in the transaction that accepts its job. So exactly
// one copy of an accepted job is complete, whatever else was written, and no row of it
// ever changes. Copies without a name, from an earlier release, are read too.

const (
	// copyPrefix begins the name of each copy, so that it sorts after the rows of an unnamed one.
	copyPrefix = "c"
	// randomNameChars is the length of the rest of the name. The calls of Submit for one job are
	// few, and the name of a row is short.
	randomNameChars = 10
)

// contentRow matches the names of content rows without the ID of their job, and finds the name of the
// copy and the number in it. Others belong to a job whose ID begins with that of this one and a slash.
var contentRow = regexp.MustCompile(fmt.Sprintf(`^(?:(%s[A-Z2-7]{%d})/)?([0-9]{6})$`, copyPrefix, randomNameChars))

// encodeContent returns the rows of a new copy of a job's content.
func (k *Keeper) encodeContent(id string, items []Item) ([]rowstore.Put, error) {
	encoded, err := cbor.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("%w: encode items: %w", ErrNotWritten, err)
	}
	name := copyPrefix + rand.Text()[:randomNameChars]
	var puts []rowstore.Put
	for n := 0; len(encoded) > 0; n++ {
		size := min(k.rowSize, len(encoded))
		puts = append(puts, rowstore.Put{Key: contentKey(id, name, n), Value: encoded[:size]})
		encoded = encoded[size:]
	}
	return puts, nil
}

// contentKey returns the key of the n-th row of a copy of a job's content.
func contentKey(id, name string, n int) rowstore.Key {
	return rowstore.Key{Table: tableContent, Part: partNameOf(id), Name: fmt.Sprintf("%s/%s/%06d", id, name, n)}
}

// endOfCopy returns the smallest name after those of the rows of a named copy.
func endOfCopy(id, name string) string { return id + "/" + name + "0" } // '0' is the byte after '/'

// takeTx returns as many rows as fit into one transaction.
func takeTx(puts []rowstore.Put) []rowstore.Put {
	n, size := 0, 0
	for n < len(puts) && n < maxTxRows && size+len(puts[n].Value) <= maxTxBytes {
		size += len(puts[n].Value)
		n++
	}
	return puts[:n]
}

// splitContent splits content rows into those that must be written before the transaction that
// accepts the job, and the remaining ones, at least the last.
func splitContent(puts []rowstore.Put) (excess, rest []rowstore.Put) {
	rest = puts
	for {
		n := len(takeTx(rest))
		if n == len(rest) {
			return puts[:len(puts)-len(rest)], rest
		}
		rest = rest[n:]
	}
}

// writeContent writes content rows, in as many transactions as they need. It returns
// ErrNotWritten.
func (k *Keeper) writeContent(ctx context.Context, puts []rowstore.Put) error {
	for len(puts) > 0 {
		some := takeTx(puts)
		if _, err := k.transactWithRetry(ctx, rowstore.Tx{Puts: some}, submitRetryTimeout); err != nil {
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		puts = puts[len(some):]
	}
	return nil
}

// removeContent removes content rows of a submission that was not accepted, in one attempt: rows
// that remain do no harm.
func (k *Keeper) removeContent(ctx context.Context, puts []rowstore.Put) {
	for len(puts) > 0 {
		some := puts[:min(len(puts), maxTxRows)]
		var tx rowstore.Tx
		for _, put := range some {
			tx.Removes = append(tx.Removes, put.Key)
		}
		if _, err := k.transact(ctx, tx); err != nil {
			k.logger.Info("content of a rejected job not removed", "row", some[0].String(), "error", err)
			return
		}
		puts = puts[len(some):]
	}
}
