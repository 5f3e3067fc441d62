// Package pathfinder opens connections to upstreams: over this VM's own link, or through a peer
// VM while that link is lost.
//
//	link works            dial                                  one connection
//	not known to be lost  dial; after headStart also a peer VM  the first to connect is used
//	known to be lost      a peer VM; the link is checked beside  no caller waits for the link
//	nobody reaches it     fail at once                           checked beside as well
package pathfinder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/linkkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/peerdialer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/racer"
)

const (
	// headStart is how long a dial over this VM's own link may take before a peer VM is asked
	// too. It exceeds the time that a dial between regions takes.
	headStart = 150 * time.Millisecond
	// cutOffHeadStart is the same while other links are lost.
	cutOffHeadStart = 40 * time.Millisecond
	// dialTimeout bounds a dial over this VM's own link, and all attempts through peer VMs.
	dialTimeout = 700 * time.Millisecond
)

// ErrNoWay means that neither this VM nor a peer VM reached the upstream a moment ago.
var ErrNoWay = errors.New("no way to the upstream")

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Finder opens connections to upstreams. It is safe for concurrent use.
type Finder struct {
	direct  relayer.Dial
	links   *linkkeeper.Keeper
	peers   *peerdialer.Dialer
	counter Counter
	logger  *slog.Logger

	peerHeader func() http.Header
	onChange   atomic.Pointer[func(address string)]
	wake       chan struct{} // holds a value if a check may be due
	restored   atomic.Bool   // a link was restored since the last round of checks

	ctx     context.Context //nolint:containedctx // ends the dials that no request waits for
	cancel  context.CancelFunc
	closing sync.Mutex // guards closed, and the start of tasks
	closed  bool
	group   sync.WaitGroup

	mu        sync.Mutex
	ids       map[string]string    // of upstreams, by address
	addresses map[string]string    // of upstreams, by ID
	checkedAt map[string]time.Time // on suspicion, by address
	checking  map[string]bool      // addresses that are being checked
}

// Option sets one property of a Finder.
type Option func(*Finder)

// WithPeerHeader sets a function that returns the header that is sent to peer VMs, which may be nil.
func WithPeerHeader(header func() http.Header) Option {
	return func(f *Finder) { f.peerHeader = header }
}

// New returns a Finder without peer VMs. It dials upstreams with direct and peer VMs with peer.
func New(direct, peer relayer.Dial, counter Counter, logger *slog.Logger, options ...Option) *Finder {
	f := &Finder{
		direct: direct, links: linkkeeper.New(), counter: counter, logger: logger,
		wake: make(chan struct{}, 1), checkedAt: map[string]time.Time{}, checking: map[string]bool{},
		peerHeader: func() http.Header { return nil },
	}
	f.SetOnChange(func(string) {})
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(f)
	}
	f.peers = peerdialer.New(peer, f.peerHeader)
	return f
}

// SetOnChange sets a function that is called when idle connections to an address should be closed:
// they are likely to be dead as its link has become silent, or go through peer VMs although its link
// works again. It must not block.
func (f *Finder) SetOnChange(onChange func(address string)) { f.onChange.Store(&onChange) }

// Close ends all dials and waits for them.
func (f *Finder) Close() {
	f.cancel()
	f.closing.Lock()
	f.closed = true
	f.closing.Unlock()
	f.group.Wait()
}

// spawn runs a task on a goroutine that Close waits for; after Close, on the calling goroutine.
func (f *Finder) spawn(task func()) {
	f.closing.Lock()
	closed := f.closed
	if !closed {
		f.group.Go(task)
	}
	f.closing.Unlock()
	if closed {
		task()
	}
}

// SetPeers replaces the peer VMs.
func (f *Finder) SetPeers(peers []peerdialer.Peer) { f.peers.SetPeers(peers) }

// SetUpstreams replaces the list of upstreams, given as their IDs by address.
func (f *Finder) SetUpstreams(ids map[string]string) {
	addresses := make(map[string]string, len(ids))
	for address, id := range ids {
		addresses[id] = address
	}
	f.mu.Lock()
	f.ids, f.addresses = ids, addresses
	for address := range f.checkedAt {
		if _, listed := ids[address]; !listed {
			delete(f.checkedAt, address)
		}
	}
	f.mu.Unlock()
	f.links.Retain(ids)
}

// IsLost returns whether this VM's link to an address is lost, so that connections to it go through
// peer VMs.
func (f *Finder) IsLost(address string) bool { return f.links.IsLost(address) }

// IsCutOff returns whether this VM itself, rather than the upstreams, is likely to be at fault
// when connections fail.
func (f *Finder) IsCutOff(now time.Time) bool { return f.links.IsCutOff(now) }

// Dial connects to the upstream at an address. Its errors have the type *net.OpError. They wrap
// syscall.ECONNREFUSED only if the upstream refuses connections, not if this VM's link does.
func (f *Finder) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := f.dial(ctx, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

func (f *Finder) dial(ctx context.Context, address string) (net.Conn, error) {
	switch f.links.Way(address, time.Now()) {
	case linkkeeper.WayNone:
		return nil, ErrNoWay
	case linkkeeper.WayPeer:
		return f.dialThroughPeer(ctx, address)
	case linkkeeper.WayEither:
		return f.dialEither(ctx, address, patience{headStart: cutOffHeadStart})
	default:
		return f.dialEither(ctx, address, patience{headStart: headStart, awaitLink: true})
	}
}

// dialThroughPeer connects to an address whose link is lost.
func (f *Finder) dialThroughPeer(ctx context.Context, address string) (net.Conn, error) {
	conn, err := f.openThroughPeer(ctx, address)
	if err != nil && ctx.Err() == nil {
		f.conclude(address, err)
	}
	return conn, err
}

// openThroughPeer connects through a peer VM, and records what that shows of this VM's link.
func (f *Finder) openThroughPeer(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := f.peers.Open(ctx, f.spawn, f.id(address))
	if err != nil {
		return nil, err //nolint:wrapcheck // combine distinguishes the errors
	}
	f.counter.Count(`upstream_dials_total{outcome="throughPeer"}`)
	if f.links.RecordPeerSuccess(address, time.Now()) {
		f.linkLost(address)
	}
	return conn, nil
}

// conclude records what it shows that no way has led to an upstream.
func (f *Finder) conclude(address string, err error) {
	if errors.Is(err, tunneler.ErrRefused) || errors.Is(err, tunneler.ErrUnanswered) {
		f.links.RecordUpstreamDown(address)
	}
	if !isRefusal(err) {
		f.links.RecordUnreachable(address, time.Now())
		f.wakeChecks()
	}
}

// patience is how long this VM's own link is waited for.
type patience struct {
	headStart time.Duration // until peer VMs are asked
	awaitLink bool          // also when peer VMs have failed
}

// dialEither dials over this VM's own link, and after a head start, or when that fails, through
// peer VMs too. It returns the connection that is established first.
func (f *Finder) dialEither(ctx context.Context, address string, p patience) (net.Conn, error) {
	ways := []racer.Attempt[net.Conn]{func(context.Context) (net.Conn, error) { return f.dialDirect(address) }}
	if f.peers.HasPeers() {
		ways = append(ways, func(ctx context.Context) (net.Conn, error) { return f.openThroughPeer(ctx, address) })
	}
	var errs []error
	conn, found := racer.First(ctx, f.spawn, p.headStart, ways, func(err error) bool {
		errs = append(errs, err)
		return !p.awaitLink && errors.Is(err, peerdialer.Err)
	})
	switch {
	case found:
		return conn, nil
	case ctx.Err() != nil:
		return nil, context.Cause(ctx)
	}
	err := combine(errs)
	f.conclude(address, err)
	return nil, err
}

// dialDirect dials over this VM's own link, and records what that shows of the link. No request
// cancels it: when it ends late, it is evidence all the same.
func (f *Finder) dialDirect(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(f.ctx, dialTimeout)
	defer cancel()
	conn, err := f.direct(ctx, "tcp", address)
	now := time.Now()
	switch {
	case err == nil:
		f.counter.Count(`upstream_dials_total{outcome="connected"}`)
		if f.links.RecordSuccess(address, now) {
			f.restored.Store(true)
			(*f.onChange.Load())(address)
			f.logger.Info("link to upstream restored", "upstream", f.id(address))
		}
	case f.ctx.Err() == nil:
		f.counter.Count(`upstream_dials_total{outcome="` + dialOutcome(err) + `"}`)
		if f.links.RecordFailure(address, isRefusal(err), now) {
			f.linkLost(address)
		}
	}
	return conn, err //nolint:wrapcheck // combine distinguishes the errors
}

// dialOutcome returns how a failed dial appears in the metrics.
func dialOutcome(err error) string {
	if isRefusal(err) {
		return "refused"
	}
	return "unanswered"
}

// linkLost begins to check a lost link. Open connections are closed if they are likely to be dead.
func (f *Finder) linkLost(address string) {
	silent := f.links.IsSilent(address)
	f.logger.Warn("link to upstream lost, peer VMs reach it", "upstream", f.id(address), "silent", silent)
	if silent {
		f.closeDead(address)
	}
	f.wakeChecks()
}

// closeDead closes the open connections to an address whose link has become silent, or to all
// addresses if several links have: otherwise each of them would cost a request.
func (f *Finder) closeDead(address string) {
	if !f.links.IsSilentlyCutOff() {
		(*f.onChange.Load())(address)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for address := range f.ids {
		(*f.onChange.Load())(address)
	}
}

// id returns the ID of the upstream at an address.
func (f *Finder) id(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ids[address]
}

// combine returns what the errors of all ways mean together. The upstream refuses connections only
// if peer VMs say so too, or there is none to ask.
func combine(errs []error) error {
	var direct, peers error
	for _, err := range errs {
		switch {
		case errors.Is(err, peerdialer.Err):
			peers = err
		default:
			direct = err
		}
	}
	switch {
	case peers == nil || (errors.Is(peers, peerdialer.ErrNobodyToAsk) && direct != nil):
		return direct
	case isRefusal(peers):
		return peers
	default:
		return fmt.Errorf("%w: %w; own link: %v", ErrNoWay, peers, direct) //nolint:errorlint // not a refusal by the upstream
	}
}

// isRefusal returns whether an error says that an address refuses connections.
func isRefusal(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
