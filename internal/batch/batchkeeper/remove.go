package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// rowsOfJob are the tables with rows of a job besides its record, and what follows the job's ID and a
// slash in their names. Other names belong to a job whose ID begins with that of this one and a slash.
var rowsOfJob = map[string]*regexp.Regexp{
	tableContent:      contentRow,
	tableResults:      regexp.MustCompile(`^[0-9]{6}$`),
	tableContinuation: regexp.MustCompile(`^[0-9]{6}/[0-9]{3}$`),
	tableProgress:     regexp.MustCompile(`^[0-9]{6}$`),
}

// Remove removes all rows of an ended job, the record last, so that a removal that was interrupted is
// found and repeated. It returns ErrOwnershipLost if the record has changed since it was read,
// ErrNotRead, ErrNotWritten or ErrInDoubt.
func (k *Keeper) Remove(ctx context.Context, seen VersionedRecord) error {
	for table, names := range rowsOfJob {
		keys, err := k.keysOfJob(ctx, table, seen.ID, names)
		if err != nil {
			return err
		}
		if err := k.removeRows(ctx, seen, keys); err != nil {
			return err
		}
	}
	return k.removeRows(ctx, seen, []rowstore.Key{recordKey(seen.ID)})
}

// keysOfJob returns the keys of the rows of a job in a table.
func (k *Keeper) keysOfJob(ctx context.Context, table, id string, names *regexp.Regexp) ([]rowstore.Key, error) {
	reader := k.newRangeReader(table, partNameOf(id), id+"/", id+"0", submitRetryTimeout) // '0' is the byte after '/'
	var keys []rowstore.Key
	for !reader.ended {
		page, _, err := reader.read(ctx)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			if names.MatchString(strings.TrimPrefix(row.Name, id+"/")) {
				keys = append(keys, row.Key)
			}
		}
	}
	return keys, nil
}

// removeRows removes rows of a job while its record is unchanged.
func (k *Keeper) removeRows(ctx context.Context, seen VersionedRecord, keys []rowstore.Key) error {
	for len(keys) > 0 {
		some := keys[:min(len(keys), maxTxRows)]
		tx := rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: recordKey(seen.ID), Version: seen.Version}}, Removes: some,
		}
		_, err := k.transactWithRetry(ctx, tx, submitRetryTimeout)
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			row, found := conflict.Current(recordKey(seen.ID))
			if found && row.Version == 0 { // removed by an attempt whose response was lost, or by another VM
				return nil
			}
			return fmt.Errorf("%w: %s", ErrOwnershipLost, seen.ID)
		}
		if err != nil {
			return err
		}
		keys = keys[len(some):]
	}
	return nil
}
