package entryvm

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/networkreserver"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

const (
	testCallerPort = 18140
	testReadyPort  = 18141
	testPeerPort   = 18142
	// eventTimeout bounds the wait for what is expected, and testDialTimeout a connection.
	eventTimeout    = 10 * time.Second
	testDialTimeout = 3 * time.Second
)

// fleet is a VM with a store of its own. VMs of all fleets use the same ports, and their upstreams
// have the same IDs.
type fleet struct {
	t    *testing.T
	rows *rowemulator.Store
	vm   *VM
	// maxKeyAge is how old the keys that the VM knows may be; 0 for any age.
	maxKeyAge time.Duration
}

// prepareFleet returns a fleet without a VM. Its store has the rows.
func prepareFleet(t *testing.T, puts ...rowstore.Put) *fleet {
	t.Helper()
	f := &fleet{t: t, rows: rowemulator.New()}
	for _, put := range puts {
		_, err := f.rows.Apply(rowstore.Tx{Puts: []rowstore.Put{put}})
		qt.Assert(t, err, qt.IsNil)
	}
	return f
}

// startFleet starts a fleet whose VM listens at an IP address. Its store has the rows.
func startFleet(t *testing.T, name, ip string, puts ...rowstore.Put) *fleet {
	t.Helper()
	f := prepareFleet(t, puts...)
	f.startVM(name, ip)
	return f
}

// rejectReads makes the store reject reads of some tables.
func (f *fleet) rejectReads(tables ...string) {
	f.rows.SetFaultFunc(func(c rowemulator.Call) (bool, error) {
		if slices.Contains(tables, c.Table) {
			return false, rowstore.ErrNotDone
		}
		return true, nil
	})
}

// startVM starts the VM of the fleet.
func (f *fleet) startVM(name, ip string) {
	f.t.Helper()
	store := httptest.NewServer(standin.NewStore(f.rows))
	f.t.Cleanup(store.Close)
	address := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	var err error
	f.vm, err = New(platform.Settings{
		VM: name, Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}, IP: ip, PeerPort: testPeerPort,
		CallerAddress: address(testCallerPort), ReadyAddress: address(testReadyPort),
		StoreAddress: store.Listener.Addr().String(), MaxRowBytes: rowstore.MaxRowBytes,
		MaxKeyAge: f.maxKeyAge,
	}, slog.New(slog.DiscardHandler))
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, f.vm.Start(), qt.IsNil)
	f.t.Cleanup(f.vm.halt)
}

// halt ends the tasks of the VM at once, as the end of its process would.
func (vm *VM) halt() {
	vm.runner.Stop()
	vm.stop()
	for _, s := range vm.servers {
		_ = s.Close()
	}
	vm.forwarder.Close()
	vm.finder.Close()
	vm.tasks.Wait()
}

// eventually waits until happened returns true.
func (f *fleet) eventually(what string, happened func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(eventTimeout); !happened(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatal("timeout waiting for: ", what)
		}
	}
}

func (f *fleet) isServing() bool {
	return f.vm.readiness.configured.Load() && f.vm.readiness.upstreamsListed.Load()
}

func (f *fleet) isIdentified() bool { return f.vm.fleet.Identity() != 0 }

// takeForPeer makes the VM take that of another fleet for a peer, as its address is that of a former
// peer.
func (f *fleet) takeForPeer(other *fleet) {
	f.vm.setPeers([]memberkeeper.Member{
		{VM: other.vm.settings.VM, IP: other.vm.settings.IP, Domain: "d", Boot: uint64(other.vm.bootID)},
	})
}

// hasRejected returns whether the VM has rejected something from another fleet.
func (f *fleet) hasRejected() bool {
	return f.vm.counter.Get(`peer_messages_rejected_total{reason="otherFleet"}`) > 0
}

// startUpstream returns the address of an upstream that accepts connections.
func startUpstream(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// closedAddress returns an address at which nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// startTwoFleets starts two fleets that have the same configuration and an upstream each, with the
// same ID.
func startTwoFleets(t *testing.T, upstreamOfA, upstreamOfB rowstore.Put) (a, b *fleet) {
	t.Helper()
	network := networkreserver.Reserve(t)
	a = startFleet(t, "a", network.IP(1), standin.ConfigurationRow(1), upstreamOfA)
	b = startFleet(t, "b", network.IP(2), standin.ConfigurationRow(1), upstreamOfB)
	for _, f := range []*fleet{a, b} {
		f.eventually("VM serves", f.isServing)
		f.eventually("VM knows its fleet", f.isIdentified)
	}
	return a, b
}

// Guards against: a job of another fleet runs at upstreams of this one.
func TestJobOfAnotherFleetIsNotTakenOver(t *testing.T) {
	a, b := startTwoFleets(t, standin.UpstreamRow("u", closedAddress(t), "ready"),
		standin.UpstreamRow("u", startUpstream(t), "ready"))
	qt.Check(t, a.moveJob(b), qt.ErrorIs, jobmover.ErrNotTakenOver)
}

// moveJob hands a job over to the VM of another fleet.
func (f *fleet) moveJob(to *fleet) error {
	f.takeForPeer(to)
	ctx, cancel := context.WithTimeout(f.t.Context(), eventTimeout)
	defer cancel()
	owner := batchkeeper.Owner{VM: f.vm.settings.VM, Boot: uint64(f.vm.bootID)}
	return f.vm.mover.Move(ctx, to.vm.settings.VM, jobmover.Job{
		Record:  batchkeeper.Record{ID: "j", Route: "jobs", Items: 1, Owner: owner},
		Version: 1, Items: []batchkeeper.Item{{ID: "i"}},
	})
}

// Guards against: a VM that doesn't know its fleet yet runs jobs of another one, or doesn't tell that an
// upstream has crashed, so that the crash counts for nothing.
func TestVMThatDoesNotKnowItsFleet(t *testing.T) {
	network := networkreserver.Reserve(t)
	closed := closedAddress(t)
	a := startFleet(t, "a", network.IP(1), standin.ConfigurationRow(1), standin.UpstreamRow("u", closed, "ready"))
	b := prepareFleet(t, standin.ConfigurationRow(1), standin.UpstreamRow("u", startUpstream(t), "ready"))
	b.rejectReads(fleetidentifier.Table)
	b.startVM("b", network.IP(2))
	a.eventually("VM a knows its fleet", func() bool { return a.isServing() && a.isIdentified() })
	b.eventually("VM b serves", b.isServing)
	t.Run("takes no jobs", func(t *testing.T) {
		qt.Check(t, a.moveJob(b), qt.ErrorIs, jobmover.ErrNotTakenOver)
	})
	t.Run("carries connections", func(t *testing.T) {
		a.takeForPeer(b)
		qt.Check(t, a.dial(closed), qt.IsNil)
	})
	qt.Check(t, b.isIdentified(), qt.IsFalse)
}

// dial connects to the address of an upstream, over the VM's own link or through a peer.
func (f *fleet) dial(address string) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), testDialTimeout)
	defer cancel()
	conn, err := f.vm.finder.Dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// Guards against: an upstream that is draining in another fleet gets no more requests of this one.
func TestReportOfAnotherFleetIsIgnored(t *testing.T) {
	upstream := standin.UpstreamRow("u", startUpstream(t), "ready")
	a, b := startTwoFleets(t, upstream, upstream)
	a.vm.placer.ReceiveDraining(map[string]int64{"u": standin.ProcessStart})
	a.takeForPeer(b)
	a.vm.reporter.Wake()
	b.eventually("VM b has heard VM a", func() bool { return len(b.vm.placer.Draining()) > 0 || b.hasRejected() })
	qt.Check(t, b.vm.placer.Draining(), qt.HasLen, 0)
}

// Guards against: a request of another fleet is carried to the upstream of this one that has the same ID.
func TestConnectionOfAnotherFleetIsNotCarried(t *testing.T) {
	closed := closedAddress(t)
	a, b := startTwoFleets(t, standin.UpstreamRow("u", closed, "ready"),
		standin.UpstreamRow("u", startUpstream(t), "ready"))
	a.takeForPeer(b)
	qt.Check(t, a.dial(closed), qt.IsNotNil)
}

// Guards against: a VM starts with the configuration of another fleet.
func TestCopiesOfAnotherFleetAreNotTaken(t *testing.T) {
	network := networkreserver.Reserve(t)
	b := startFleet(t, "b", network.IP(2), standin.ConfigurationRow(1), standin.UpstreamRow("u", startUpstream(t), "ready"))
	b.eventually("VM b serves", b.isServing)
	b.eventually("VM b knows its fleet", b.isIdentified)
	a := prepareFleet(t)
	a.rejectReads(platform.TableConfiguration, platform.TableUpstreams)
	a.startVM("a", network.IP(1))
	a.eventually("VM a knows its fleet", a.isIdentified)
	b.takeForPeer(a)
	b.vm.reporter.Wake()
	a.eventually("VM a has heard VM b", func() bool { return a.isServing() || a.hasRejected() || b.hasRejected() })
	qt.Check(t, a.isServing(), qt.IsFalse)
}

// Guards against: a VM writes its rows into the store of another fleet.
func TestStoreCallOfAnotherFleetIsNotRelayed(t *testing.T) {
	upstream := standin.UpstreamRow("u", startUpstream(t), "ready")
	a, b := startTwoFleets(t, upstream, upstream)
	a.takeForPeer(b)
	a.rows.SetDown(true)
	row := rowstore.Key{Table: "test", Part: "test", Name: "a"}
	_, err := a.vm.store.Transact(t.Context(), rowstore.Tx{Puts: []rowstore.Put{rowstore.PutJSON(row, 1)}})
	qt.Check(t, err, qt.ErrorIs, rowstore.ErrNotDone)
	qt.Check(t, b.rows.Rows("test"), qt.HasLen, 0)
}
