// Package vmlister reads and writes the list of a fleet's VMs in the platform's store,
// which has one row for each VM. Whoever operates the VMs maintains it.
package vmlister

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// ErrUnchanged means that the list has not changed since the version that the caller has.
var ErrUnchanged = errors.New("list of VMs unchanged")

const table = "fleet"

// Kind is the role of a VM.
type Kind string

// The kinds of VM on the list.
const (
	KindEntry    Kind = "entry"
	KindUpstream Kind = "upstream"
)

// VM is one entry of the list.
type VM struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Pool    string `json:"pool,omitempty"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Peer is the address at which an entry VM accepts connections from its peers.
	Peer    string `json:"peer,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Lister reads the list.
type Lister struct {
	store  rowstore.Store
	logger *slog.Logger
}

// New returns a Lister that reads from a store.
func New(store rowstore.Store, logger *slog.Logger) *Lister {
	return &Lister{store: store, logger: logger}
}

// VMs returns the list and its version, or ErrUnchanged if the list has not changed since
// version. Version 0 reads the list in any case.
func (l *Lister) VMs(ctx context.Context, version uint64) ([]VM, uint64, error) {
	if version != 0 {
		changes, err := l.store.Changes(ctx, table, version, 0)
		if err == nil && len(changes.Rows) == 0 {
			return nil, version, ErrUnchanged
		}
		if err != nil && !errors.Is(err, rowstore.ErrHistoryGone) {
			return nil, version, fmt.Errorf("read changes of the list of VMs: %w", err)
		}
	}
	all, err := rowstore.ReadAll(ctx, l.store, table, "", "", "")
	if err != nil {
		return nil, version, fmt.Errorf("read list of VMs: %w", err)
	}
	return l.decode(all.Rows), all.Version, nil
}

// decode skips malformed rows, so that one of them doesn't hide the rest.
func (l *Lister) decode(rows []rowstore.Row) []VM {
	vms := make([]VM, 0, len(rows))
	for _, row := range rows {
		var vm VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			l.logger.Warn("ignoring malformed VM row", "row", row.String(), "version", row.Version, "error", err)
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

// Write replaces the fleet's list. A long list takes several transactions, so readers may
// see it partly written.
func Write(ctx context.Context, store rowstore.Store, vms []VM) error {
	old, err := rowstore.ReadAll(ctx, store, table, "", "", "")
	if err != nil {
		return fmt.Errorf("write list of VMs: %w", err)
	}
	unlisted := map[string]bool{}
	for _, row := range old.Rows {
		unlisted[row.Name] = true
	}
	var puts []rowstore.Put
	for _, vm := range vms {
		delete(unlisted, vm.ID)
		puts = append(puts, rowstore.PutJSON(keyOf(vm.ID), vm))
	}
	var removes []rowstore.Key
	for name := range unlisted {
		removes = append(removes, keyOf(name))
	}
	for len(puts)+len(removes) > 0 {
		var tx rowstore.Tx
		tx.Removes, removes = split(removes, rowstore.MaxEntries)
		tx.Puts, puts = split(puts, rowstore.MaxEntries-len(tx.Removes))
		if _, err := store.Transact(ctx, tx); err != nil {
			return fmt.Errorf("write list of VMs: %w", err)
		}
	}
	return nil
}

// split returns up to n first elements, and the rest.
func split[T any](all []T, n int) (first, rest []T) {
	n = min(n, len(all))
	return all[:n], all[n:]
}

func keyOf(vm string) rowstore.Key { return rowstore.Key{Table: table, Name: vm} }
