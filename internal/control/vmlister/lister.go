// Package vmlister reads and writes the list of a fleet's VMs, which whoever
// runs the VMs keeps in the platform's store: a row each.
package vmlister

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// ErrUnchanged means that the caller has the newest list already.
var ErrUnchanged = errors.New("list of VMs unchanged")

const table = "fleet"

// Kind tells what runs on a VM.
type Kind string

// The kinds of VM on the list.
const (
	KindEntry    Kind = "entry"
	KindUpstream Kind = "upstream"
)

// VM is one line of the list.
type VM struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Pool    string `json:"pool,omitempty"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Peer is the address at which an entry VM takes its peers' connections.
	Peer    string `json:"peer,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Lister reads the list.
type Lister struct {
	store  rowstore.Store
	logger *slog.Logger
}

// New returns a reader of the list in a store.
func New(store rowstore.Store, logger *slog.Logger) *Lister {
	return &Lister{store: store, logger: logger}
}

// VMs returns the list and its version, or ErrUnchanged if the caller has read
// that version already; 0 is none.
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

// decode leaves out rows that can't be read, so that one of them doesn't hide
// the others.
func (l *Lister) decode(rows []rowstore.Row) []VM {
	vms := make([]VM, 0, len(rows))
	for _, row := range rows {
		var vm VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			l.logger.Warn("VM left out of the list", "row", row.String(), "version", row.Version, "error", err)
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

// Write makes a list the fleet's. Long lists take several transactions.
func Write(ctx context.Context, store rowstore.Store, vms []VM) error {
	old, err := rowstore.ReadAll(ctx, store, table, "", "", "")
	if err != nil {
		return fmt.Errorf("write list of VMs: %w", err)
	}
	gone := map[string]bool{}
	for _, row := range old.Rows {
		gone[row.Name] = true
	}
	var puts []rowstore.Put
	for _, vm := range vms {
		delete(gone, vm.ID)
		puts = append(puts, rowstore.PutJSON(keyOf(vm.ID), vm))
	}
	var removes []rowstore.Key
	for name := range gone {
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

// split cuts off up to n elements.
func split[T any](all []T, n int) (first, rest []T) {
	n = min(n, len(all))
	return all[:n], all[n:]
}

func keyOf(vm string) rowstore.Key { return rowstore.Key{Table: table, Name: vm} }
