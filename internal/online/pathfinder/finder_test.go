package pathfinder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/pathfinder"
	"github.com/fescuespindle/fescuespindle/internal/online/peerdialer"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

type noCounter struct{}

func (noCounter) Count(string) {}

// fleet is some VMs and upstreams on a network without sockets. Each VM has links of its own.
type fleet struct {
	t         *testing.T
	network   *standin.Network
	upstreams map[string]string // IDs by address
	finders   []*pathfinder.Finder
	domains   int

	mu    sync.Mutex
	lost  map[int]error    // how links of a VM fail; nil for all that work
	only  map[int]string   // an address that a VM reaches nevertheless
	links map[string]error // how single links fail, by VM and address
	dials map[int]int      // over links of a VM
}

// errHang stands for a link that never answers.
var errHang = errors.New("hangs")

func addressOf(n int) string { return fmt.Sprint("upstream", n) }

func newFleet(t *testing.T, vms, upstreams int) *fleet { return newFleetOf(t, vms, upstreams, 1) }

func newFleetOf(t *testing.T, vms, upstreams, domains int) *fleet {
	f := &fleet{
		t: t, domains: domains, network: standin.NewNetwork(), upstreams: map[string]string{}, lost: map[int]error{},
		only: map[int]string{}, links: map[string]error{},
		dials: map[int]int{},
	}
	for n := range upstreams {
		f.upstreams[addressOf(n)] = fmt.Sprint("id", n)
		t.Cleanup(f.network.Serve(addressOf(n), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, addressOf(n))
		})))
	}
	for vm := range vms {
		f.addVM(vm, vms)
	}
	return f
}

// domainOf returns the failure domain of a VM in a fleet of VMs that are spread over domains.
func (f *fleet) domainOf(vm int) int { return vm % max(f.domains, 1) }

func (f *fleet) addVM(vm, vms int) {
	logger := slog.New(slog.DiscardHandler)
	finder := pathfinder.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		return f.dialLink(ctx, vm, network, address)
	}, f.network.Dial, noCounter{}, logger)
	finder.SetUpstreams(f.upstreams)
	var peers []peerdialer.Peer
	for other := range vms {
		if other != vm {
			distance := peerdialer.DistanceRegion
			if f.domainOf(other) == f.domainOf(vm) {
				distance = peerdialer.DistanceDomain
			}
			peers = append(peers, peerdialer.Peer{Address: fmt.Sprint("vm", other), Distance: distance})
		}
	}
	finder.SetPeers(peers)
	mux := http.NewServeMux()
	mux.Handle("GET "+tunneler.Path, tunneler.NewCarrier(finder, rationer.New(1<<20), noCounter{}, logger))
	stop := f.network.Serve(fmt.Sprint("vm", vm), mux)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { finder.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		stop()
		finder.Close()
		group.Wait()
	})
	f.finders = append(f.finders, finder)
}

// dialLink dials over a link of a VM.
func (f *fleet) dialLink(ctx context.Context, vm int, network, address string) (net.Conn, error) {
	f.mu.Lock()
	fault := f.lost[vm]
	if f.only[vm] == address {
		fault = nil
	}
	if single, isLost := f.links[linkName(vm, address)]; isLost {
		fault = single
	}
	f.dials[vm]++
	f.mu.Unlock()
	if errors.Is(fault, errHang) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	if fault != nil {
		return nil, &net.OpError{Op: "dial", Err: fault}
	}
	time.Sleep(time.Millisecond)
	return f.network.Dial(ctx, network, address)
}

// addEnded adds an upstream that has ended to the list of all VMs.
func (f *fleet) addEnded() {
	f.upstreams["ended"] = "ended"
	for _, finder := range f.finders {
		finder.SetUpstreams(f.upstreams)
	}
}

func (f *fleet) setLost(vm int, fault error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[vm] = fault
}

func linkName(vm int, address string) string { return fmt.Sprint(vm, " ", address) }

// loseLink loses one link of a VM.
func (f *fleet) loseLink(vm int, address string, fault error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[linkName(vm, address)] = fault
}

// dialsOf returns how many connections a VM has begun over its own links.
func (f *fleet) dialsOf(vm int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials[vm]
}

// dial dials an upstream from VM 0 and returns how long it took.
func (f *fleet) dial(address string) (net.Conn, time.Duration, error) { return f.dialFrom(0, address) }

func (f *fleet) dialFrom(vm int, address string) (net.Conn, time.Duration, error) {
	began := time.Now()
	conn, err := f.finders[vm].Dial(context.Background(), "tcp", address)
	if conn != nil {
		f.t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, time.Since(began), err
}

// expectConnected checks that VM 0 connects within a time, through a peer VM or not.
func (f *fleet) expectConnected(address string, within time.Duration, throughPeer bool) {
	f.t.Helper()
	conn, took, err := f.dial(address)
	qt.Assert(f.t, err, qt.IsNil)
	_, isTunnel := conn.(*tunneler.Conn)
	qt.Check(f.t, isTunnel, qt.Equals, throughPeer)
	qt.Check(f.t, took <= within, qt.IsTrue, qt.Commentf("took %v", took))
}

// inBubble runs a test with a fake clock.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// eachFault runs a test for each way in which links fail.
func eachFault(t *testing.T, test func(t *testing.T, fault error)) {
	inBubble(t, "refused", func(t *testing.T) { test(t, syscall.ECONNREFUSED) })
	inBubble(t, "unanswered", func(t *testing.T) { test(t, errHang) })
}

// Guards against: a VM without links to upstreams has no other way to them.
func TestPeerCarriesConnectionsOfVMWithoutLinks(t *testing.T) {
	eachFault(t, func(t *testing.T, fault error) {
		f := newFleet(t, 3, 4)
		f.expectConnected(addressOf(0), 10*time.Millisecond, false)
		f.setLost(0, fault)
		f.expectConnected(addressOf(0), 300*time.Millisecond, true)
		time.Sleep(time.Second)
		f.expectConnected(addressOf(0), 10*time.Millisecond, true)
		f.expectConnected(addressOf(1), 60*time.Millisecond, true)
		f.setLost(0, nil)
		time.Sleep(2 * time.Second)
		f.expectConnected(addressOf(0), 10*time.Millisecond, false)
	})
}

// Guards against: peer VMs that are cut off as well, in the same moment, let requests wait, send them
// on in a circle, or make a sound upstream seem to have ended.
func TestPeersWithoutLinksAreFoundOut(t *testing.T) {
	eachFault(t, func(t *testing.T, fault error) {
		const vms, upstreams = 8, 12
		f := newFleet(t, vms, upstreams)
		for vm := range vms - 1 {
			f.setLost(vm, fault)
		}
		for round := range 40 {
			_, took, err := f.dial(addressOf(round % upstreams))
			qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsFalse)
			if round >= upstreams {
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, took < 700*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against: requests wait where no VM reaches an upstream, and are not served when one does again.
func TestDialFailsAtOnceWhereNobodyReachesTheUpstream(t *testing.T) {
	eachFault(t, func(t *testing.T, fault error) {
		f := newFleet(t, 3, 4)
		for vm := range 3 {
			f.setLost(vm, fault)
		}
		for n := range 300 {
			_, took, err := f.dialFrom(n%3, addressOf(n%4))
			qt.Check(t, err, qt.IsNotNil)
			if n >= 12 { // each VM has dialed each upstream
				qt.Check(t, took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.setLost(1, nil)
		time.Sleep(3 * time.Second)
		f.expectConnected(addressOf(2), 200*time.Millisecond, true)
	})
}

// Guards against: an upstream that has ended seems alive, so that a request that crashes upstreams isn't
// found out; or one that is sound seems to have ended.
func TestRefusal(t *testing.T) {
	expectRefused := func(t *testing.T, f *fleet, address string, want bool) {
		t.Helper()
		_, _, err := f.dial(address)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.Equals, want, qt.Commentf("%v", err))
	}
	inBubble(t, "upstream has ended", func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.addEnded()
		expectRefused(t, f, "ended", true)
		qt.Check(t, f.finders[0].IsCutOff(time.Now()), qt.IsFalse)
	})
	inBubble(t, "upstream has ended, and this VM is cut off", func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.addEnded()
		f.setLost(0, errHang)
		expectRefused(t, f, "ended", true)
	})
	inBubble(t, "all VMs are refused by their links", func(t *testing.T) {
		f := newFleet(t, 3, 4)
		for vm := range 3 {
			f.setLost(vm, syscall.ECONNREFUSED)
		}
		expectRefused(t, f, addressOf(0), false)
	})
	inBubble(t, "several upstreams have ended", func(t *testing.T) {
		f := newFleet(t, 2, 4)
		f.upstreams["ended1"], f.upstreams["ended2"] = "ended1", "ended2"
		f.addEnded()
		for range 30 {
			expectRefused(t, f, "ended", true)
			time.Sleep(5 * time.Second)
		}
	})
	inBubble(t, "the only upstream has ended", func(t *testing.T) {
		f := newFleet(t, 2, 0)
		f.addEnded()
		expectRefused(t, f, "ended", true)
	})
	inBubble(t, "no peer VM to ask", func(t *testing.T) {
		f := newFleet(t, 1, 2)
		f.setLost(0, syscall.ECONNREFUSED)
		expectRefused(t, f, addressOf(0), true)
	})
	inBubble(t, "peer VMs of an earlier release", func(t *testing.T) {
		f := newFleet(t, 1, 2)
		t.Cleanup(f.network.Serve("old", http.NotFoundHandler()))
		f.finders[0].SetPeers([]peerdialer.Peer{{Address: "old"}})
		f.setLost(0, syscall.ECONNREFUSED)
		expectRefused(t, f, addressOf(0), true)
	})
}

// Guards against: a VM that reaches some upstreams sends work for these to peers, or reports them.
func TestVMThatReachesOneUpstream(t *testing.T) {
	eachFault(t, func(t *testing.T, fault error) {
		f := newFleet(t, 3, 4)
		f.setLost(0, fault)
		f.mu.Lock()
		f.only[0] = addressOf(3)
		f.mu.Unlock()
		f.expectConnected(addressOf(0), 300*time.Millisecond, true)
		f.expectConnected(addressOf(3), 10*time.Millisecond, false)
		qt.Check(t, f.finders[0].IsCutOff(time.Now()), qt.IsFalse)
	})
}

// Guards against: an open connection over a link that has become silent is found out only by the
// requests that it costs.
func TestSuspectedLinkIsChecked(t *testing.T) {
	inBubble(t, "lost", func(t *testing.T) {
		f := newFleet(t, 2, 2)
		f.setLost(0, errHang)
		f.finders[0].Suspect(addressOf(0))
		time.Sleep(time.Second)
		f.expectConnected(addressOf(0), 10*time.Millisecond, true)
	})
	inBubble(t, "sound, at most once a second", func(t *testing.T) {
		f := newFleet(t, 2, 2)
		for range 100 {
			f.finders[0].Suspect(addressOf(0))
			time.Sleep(20 * time.Millisecond)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		qt.Check(t, f.dials[0], qt.Equals, 2)
	})
}

// Guards against: few peer VMs that have links carry unequal shares for many that have none, or a VM
// that has failed once is never asked again.
func TestPeersShareTheLoad(t *testing.T) {
	inBubble(t, "four carry for eight", func(t *testing.T) {
		const vms, carriers, upstreams = 12, 4, 6
		f := newFleet(t, vms, upstreams)
		for vm := range vms - carriers {
			f.setLost(vm, syscall.ECONNREFUSED)
		}
		const rounds = 60
		for round := range rounds {
			for vm := range vms - carriers {
				conn, err := f.finders[vm].Dial(context.Background(), "tcp", addressOf((round+vm)%upstreams))
				if err == nil {
					_ = conn.Close()
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		mean := rounds * (vms - carriers) / carriers
		for vm := vms - carriers; vm < vms; vm++ {
			qt.Check(t, f.dials[vm] > mean/2 && f.dials[vm] < 2*mean, qt.IsTrue,
				qt.Commentf("VM %d carries %d, the mean is %d", vm, f.dials[vm], mean))
		}
	})
}

// Guards against: a request that dials while the VM stops ends the process.
func TestDialAfterClose(t *testing.T) {
	inBubble(t, "fails", func(t *testing.T) {
		f := newFleet(t, 2, 2)
		finder := f.finders[0]
		finder.Close()
		finder.Suspect(addressOf(0))
		conn, err := finder.Dial(t.Context(), "tcp", addressOf(0))
		if err == nil {
			_ = conn.Close() // through the peer VM
		}
	})
}
