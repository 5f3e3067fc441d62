// Package peerdialer opens connections to upstreams through peer VMs: it finds one that reaches the
// upstream, and what those that don't say of it.
package peerdialer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/racer"
)

const (
	// maxAsked bounds the peer VMs that are asked for one connection.
	maxAsked = 12
	// askInterval is how long one peer VM may take before the next one is asked too.
	askInterval = 100 * time.Millisecond
	// enoughOpinions is the number of peer VMs that don't reach the upstream either after which no
	// more are asked.
	enoughOpinions = 2
	// provenTime is how long a peer VM that has carried a connection is preferred, and
	// enoughProven the number of these from which on no others are tried beside them.
	provenTime   = 5 * time.Second
	enoughProven = 8
	// exploreShare is the share of connections for which another peer VM is tried until enough are
	// proven, as a divisor, so that one does not carry all.
	exploreShare = 3
)

// Times for which a peer VM is not asked after it has failed.
const (
	skipNoLink     = 1500 * time.Millisecond
	skipBusy       = 300 * time.Millisecond
	skipIncapable  = 10 * time.Second
	skipUnanswered = time.Second
)

var (
	// Err is wrapped by all errors of Open.
	Err = errors.New("through peer VMs")
	// ErrNobodyToAsk means that no peer VM can tell whether it reaches the upstream.
	ErrNobodyToAsk = errors.New("no peer VM to ask")
)

// Distance is how far a peer VM is from this VM.
type Distance uint8

// The distances, nearest first.
const (
	DistanceDomain Distance = iota
	DistanceRegion
	DistanceRemote
	distanceCount
)

// Peer is a peer VM.
type Peer struct {
	Address  string
	Distance Distance
}

// peerState is what is known of a peer VM.
type peerState struct {
	Peer
	skippedUntil time.Time
	provenUntil  time.Time
}

// Dialer opens connections through peer VMs. It is safe for concurrent use.
type Dialer struct {
	dial   relayer.Dial
	header func() http.Header

	mu    sync.Mutex
	peers map[string]*peerState // by address
}

// New returns a Dialer without peer VMs. It connects to them with dial, and sends them the header that the
// function returns, which may be nil.
func New(dial relayer.Dial, header func() http.Header) *Dialer {
	return &Dialer{dial: dial, header: header, peers: map[string]*peerState{}}
}

// SetPeers replaces the peer VMs.
func (d *Dialer) SetPeers(peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.peers
	d.peers = make(map[string]*peerState, len(peers))
	for _, p := range peers {
		state := &peerState{Peer: p}
		if known, found := old[p.Address]; found {
			state.skippedUntil, state.provenUntil = known.skippedUntil, known.provenUntil
		}
		d.peers[p.Address] = state
	}
}

// HasPeers returns whether there is any peer VM.
func (d *Dialer) HasPeers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers) > 0
}

// Open opens a connection to an upstream, given by its ID, through the first peer VM that reaches it. It
// starts goroutines with spawn. All of its errors wrap Err; one wraps syscall.ECONNREFUSED if a peer VM
// with working links says that the upstream refuses connections.
func (d *Dialer) Open(ctx context.Context, spawn func(task func()), upstream string) (net.Conn, error) {
	if upstream == "" {
		return nil, fmt.Errorf("%w: %w", Err, ErrNobodyToAsk) // no upstream of the list
	}
	candidates := d.candidates(time.Now())
	if len(candidates) == 0 {
		return nil, fmt.Errorf("%w: %w", Err, tunneler.ErrNoLink) // all have failed a moment ago
	}
	attempts := make([]racer.Attempt[*tunneler.Conn], 0, len(candidates))
	for _, peer := range candidates {
		attempts = append(attempts, func(ctx context.Context) (*tunneler.Conn, error) { return d.ask(ctx, peer, upstream) })
	}
	var opinions opinions
	conn, found := racer.First(ctx, spawn, askInterval, attempts, func(err error) bool {
		opinions.add(err)
		return opinions.isEnough()
	})
	if !found {
		return nil, opinions.err()
	}
	return conn, nil
}

// ask asks one peer VM, and records what its answer shows of that VM.
func (d *Dialer) ask(ctx context.Context, peer, upstream string) (*tunneler.Conn, error) {
	began := time.Now()
	conn, err := tunneler.Open(ctx, d.dial, peer, upstream, d.header())
	if now := time.Now(); ctx.Err() == nil || now.Sub(began) >= askInterval {
		d.record(peer, err, now)
	} // otherwise another one was faster
	return conn, err //nolint:wrapcheck // opinions distinguishes the errors
}

func (d *Dialer) record(peer string, err error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, found := d.peers[peer]
	if !found {
		return
	}
	switch {
	case err == nil:
		state.provenUntil = now.Add(provenTime)
		return
	case errors.Is(err, tunneler.ErrRefused), errors.Is(err, tunneler.ErrUnanswered), errors.Is(err, tunneler.ErrUnlisted):
		return // says nothing about the peer VM
	case errors.Is(err, tunneler.ErrNoLink):
		state.skippedUntil = now.Add(skipNoLink)
	case errors.Is(err, tunneler.ErrBusy):
		state.skippedUntil = now.Add(skipBusy)
	case errors.Is(err, tunneler.ErrIncapable):
		state.skippedUntil = now.Add(skipIncapable)
	default:
		state.skippedUntil = now.Add(skipUnanswered)
	}
	state.provenUntil = time.Time{}
}

// candidates returns the peer VMs to ask, in order. Those that have carried a connection lately come
// first, the nearest of these at the front; the others follow, of near and far domains in turns, as a
// whole failure domain may be cut off.
func (d *Dialer) candidates(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var proven []*peerState
	others := map[Distance][]*peerState{}
	for _, p := range d.peers {
		switch {
		case now.Before(p.skippedUntil):
		case now.Before(p.provenUntil):
			proven = append(proven, p)
		default:
			others[p.Distance] = append(others[p.Distance], p)
		}
	}
	for _, list := range others {
		shuffle(list)
	}
	shuffle(proven)
	slices.SortStableFunc(proven, func(a, b *peerState) int { return int(a.Distance) - int(b.Distance) })
	mixed := mix(others)
	order := append(slices.Clone(proven), mixed...)
	if len(proven) < enoughProven && len(mixed) > 0 && rand.N(exploreShare) == 0 {
		order = slices.Insert(order, 0, mixed[rand.N(min(len(mixed), int(distanceCount)))])
	}
	addresses := make([]string, 0, maxAsked)
	for _, p := range order[:min(len(order), maxAsked)] {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// mix returns peer VMs of all distances in turns, nearest first.
func mix(byDistance map[Distance][]*peerState) []*peerState {
	var mixed []*peerState
	for n, more := 0, true; more; n++ {
		more = false
		for distance := DistanceDomain; distance <= DistanceRemote; distance++ {
			if list := byDistance[distance]; n < len(list) {
				mixed, more = append(mixed, list[n]), true
			}
		}
	}
	return mixed
}

func shuffle(peers []*peerState) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// opinions collects what peer VMs say of an upstream that they don't reach.
type opinions struct {
	refused, unanswered, noLink int
	last                        error
}

func (o *opinions) add(err error) {
	o.last = err
	switch {
	case errors.Is(err, tunneler.ErrRefused):
		o.refused++
	case errors.Is(err, tunneler.ErrUnanswered):
		o.unanswered++
	case errors.Is(err, tunneler.ErrIncapable), errors.Is(err, tunneler.ErrUnlisted): // no opinion
	default:
		o.noLink++
	}
}

// isEnough returns whether no further peer VM has to be asked.
func (o *opinions) isEnough() bool { return o.refused > 0 || o.unanswered >= enoughOpinions }

// err returns what the answers mean together.
func (o *opinions) err() error {
	switch {
	case o.refused > 0:
		return fmt.Errorf("%w: %w: %w", Err, tunneler.ErrRefused, syscall.ECONNREFUSED)
	case o.unanswered > 0:
		return fmt.Errorf("%w: %w", Err, tunneler.ErrUnanswered)
	case o.noLink > 0:
		return fmt.Errorf("%w: %w", Err, o.last)
	default:
		return fmt.Errorf("%w: %w", Err, ErrNobodyToAsk)
	}
}
