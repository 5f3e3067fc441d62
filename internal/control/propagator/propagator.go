// Package propagator decides which configuration a VM has in force and how it obtains
// newer ones. It is a deterministic state machine: its output depends only on its
// state, the event and the time.
//
// A few VMs of each failure domain read the store. They announce new versions to the
// others, which fetch the text from the announcer. Every probe between VMs carries the
// version in force too, which recovers from lost messages and network partitions.
package propagator

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

const (
	// ReadersPerDomain is the number of VMs of a failure domain that poll the store.
	ReadersPerDomain = 2
	// ReadPeriod is the time between two polls of a reader.
	ReadPeriod = 400 * time.Millisecond
	// fallbackReadPeriod is the time between two polls of a VM that is no reader, in
	// case its domain's readers can't reach the store.
	fallbackReadPeriod = 15 * time.Second
	fetchTimeout       = time.Second
	// headReadTimeout is the time after which a read without a result is repeated. A
	// result can get lost while the process is paused.
	headReadTimeout  = 5 * time.Second
	bootstrapTimeout = 1500 * time.Millisecond
)

// Config is one version of the configuration. Its text matches its digest.
type Config struct {
	version uint64
	digest  string
	text    []byte
}

// NewConfig returns a configuration, or false if the text does not match the digest.
func NewConfig(version uint64, digest string, text []byte) (Config, bool) {
	sum := sha256.Sum256(text)
	if "sha256:"+hex.EncodeToString(sum[:]) != digest {
		return Config{}, false
	}
	return Config{version: version, digest: digest, text: text}, true
}

// Version returns the version number; 0 means that there is no configuration.
func (c Config) Version() uint64 { return c.version }

// Digest returns the digest that the auditors signed.
func (c Config) Digest() string { return c.digest }

// Text returns the canonical text of the configuration document.
func (c Config) Text() []byte { return c.text }

// Peer is another VM of the failure domain.
type Peer struct {
	VM      string
	Address string
}

// Action is a side effect that the caller must carry out.
type Action interface{ isAction() }

// ReadHead requests a read of the newest version number and digest from the store.
type ReadHead struct{}

// ReadText requests a read of a configuration text from the store.
type ReadText struct {
	Version uint64
	Digest  string
}

// Send requests that a message be sent to a peer.
type Send struct {
	Address string
	Message peer.Message
}

// Adopt requests that a configuration be put in force.
type Adopt struct{ Config Config }

func (ReadHead) isAction() {}
func (ReadText) isAction() {}
func (Send) isAction()     {}
func (Adopt) isAction()    {}

// Propagator holds the configuration that one VM has in force, and the progress of
// obtaining a newer one.
type Propagator struct {
	self              string
	peers             []Peer
	seeds             []string
	nextSeedRequestAt time.Time
	current           Config
	wantedVersion     uint64
	fetchDeadline     time.Time
	nextReadAt        time.Time
	readPending       bool
	readDeadline      time.Time // when the current read times out
	storeReached      bool
	started           time.Time
	candidate         Config // newest configuration received while none is in force
	requested         map[string]bool
	answered          map[string]bool
}

// New returns a Propagator of the VM self that has no configuration.
func New(self string) *Propagator {
	return &Propagator{self: self, requested: map[string]bool{}, answered: map[string]bool{}}
}

// Current returns the configuration in force.
func (p *Propagator) Current() Config { return p.current }

// Reason returns why no configuration is in force, or "" if one is.
func (p *Propagator) Reason() string {
	switch {
	case p.current.version > 0:
		return ""
	case p.storeReached:
		return "no configuration has been applied yet"
	case len(p.peers) == 0:
		return "the store can't be read and no peer is known"
	default:
		return "the store can't be read and no peer has a configuration"
	}
}

// SetPeers sets the live VMs of the domain.
func (p *Propagator) SetPeers(peers []Peer) { p.peers = peers }

// SetSeeds sets peer addresses that are queried too while no configuration is in force.
func (p *Propagator) SetSeeds(addresses []string) { p.seeds = addresses }

// IsReader reports whether this VM reads the store for its failure domain: its hash is
// among the ReadersPerDomain lowest of the live VMs.
func (p *Propagator) IsReader() bool {
	hash := xxhash.Sum64String("config/" + p.self)
	lower := 0
	for _, other := range p.peers {
		if xxhash.Sum64String("config/"+other.VM) < hash {
			lower++
		}
	}
	return lower < ReadersPerDomain
}

// Tick advances time and returns the actions that are due.
func (p *Propagator) Tick(now time.Time) []Action {
	if p.started.IsZero() {
		p.started = now
	}
	var actions []Action
	if p.readPending && now.After(p.readDeadline) {
		p.readPending = false
	}
	if !p.readPending && !now.Before(p.nextReadAt) {
		p.readPending = true
		p.readDeadline = now.Add(headReadTimeout)
		actions = append(actions, ReadHead{})
	}
	if p.current.version == 0 {
		actions = append(actions, p.bootstrap(now)...)
	}
	if p.wantedVersion > p.current.version && !p.fetchDeadline.IsZero() && now.After(p.fetchDeadline) {
		// The peer that announced the version did not send it in time. Read it from
		// the store; another peer may also announce it.
		p.fetchDeadline = time.Time{}
		p.nextReadAt = now
	}
	return actions
}

// bootstrap requests the configuration of each peer once. A starting VM must not serve
// with an outdated copy. It therefore adopts the newest configuration that it has
// received only once all peers have replied or bootstrapTimeout has passed, unless the
// store supplies one first.
func (p *Propagator) bootstrap(now time.Time) []Action {
	var actions []Action
	for _, other := range p.peers {
		if !p.requested[other.VM] {
			p.requested[other.VM] = true
			actions = append(actions, Send{Address: other.Address, Message: peer.ConfigWanted{}})
		}
	}
	actions = append(actions, p.requestFromSeeds(now)...)
	if p.candidate.version == 0 {
		return actions
	}
	if (len(p.peers) > 0 && p.allAnswered()) || now.Sub(p.started) > bootstrapTimeout {
		return append(actions, p.adopt(p.candidate)...)
	}
	return actions
}

// requestFromSeeds requests the configuration of every seed once per fetchTimeout.
func (p *Propagator) requestFromSeeds(now time.Time) []Action {
	if now.Before(p.nextSeedRequestAt) {
		return nil
	}
	p.nextSeedRequestAt = now.Add(fetchTimeout)
	var actions []Action
	for _, address := range p.seeds {
		actions = append(actions, Send{Address: address, Message: peer.ConfigWanted{}})
	}
	return actions
}

func (p *Propagator) allAnswered() bool {
	for _, other := range p.peers {
		if !p.answered[other.VM] {
			return false
		}
	}
	return true
}

func (p *Propagator) nextReadTime(now time.Time) time.Time {
	if p.IsReader() || p.current.version == 0 {
		return now.Add(ReadPeriod)
	}
	return now.Add(fallbackReadPeriod)
}

// HeadRead handles the result of ReadHead. Version 0 means that the store has no
// configuration.
func (p *Propagator) HeadRead(version uint64, digest string, err error, now time.Time) []Action {
	p.readPending = false
	p.nextReadAt = p.nextReadTime(now)
	if err != nil {
		return nil
	}
	p.storeReached = true
	if version <= p.current.version {
		return nil
	}
	if version == p.candidate.version {
		return p.adopt(p.candidate)
	}
	p.wantedVersion = max(p.wantedVersion, version)
	return []Action{ReadText{Version: version, Digest: digest}}
}

// TextRead handles the result of ReadText.
func (p *Propagator) TextRead(config Config, err error, now time.Time) []Action {
	if err != nil {
		p.nextReadAt = now.Add(ReadPeriod)
		return nil
	}
	return p.adopt(config)
}

// adopt puts a newer configuration in force, and announces it to the peers if this VM
// is a reader. It ignores the same version and older ones, so that the version in force
// never decreases.
func (p *Propagator) adopt(config Config) []Action {
	if config.version <= p.current.version {
		return nil
	}
	p.current = config
	p.fetchDeadline = time.Time{}
	actions := []Action{Adopt{Config: config}}
	if !p.IsReader() {
		return actions
	}
	head := peer.ConfigHead{Version: config.version, Digest: config.digest}
	for _, other := range p.peers {
		actions = append(actions, Send{Address: other.Address, Message: head})
	}
	return actions
}

// Receive handles a message from a peer.
func (p *Propagator) Receive(from peer.Sender, message peer.Message, now time.Time) []Action {
	switch m := message.(type) {
	case peer.ConfigHead:
		return p.requestNewer(from, m.Version, now)
	case peer.Probe:
		return p.receiveVersion(from, m.ConfigVersion, now)
	case peer.ProbeAck:
		return p.receiveVersion(from, m.ConfigVersion, now)
	case peer.ConfigWanted:
		return p.sendText(from, m)
	case peer.ConfigText:
		return p.receiveText(from, m)
	default:
		return nil
	}
}

// requestNewer requests a configuration from a peer that has a newer one, unless a
// request for that version or a newer one is already in progress.
func (p *Propagator) requestNewer(from peer.Sender, version uint64, now time.Time) []Action {
	if version <= p.current.version {
		return nil
	}
	if version <= p.wantedVersion && now.Before(p.fetchDeadline) {
		return nil
	}
	p.wantedVersion = max(p.wantedVersion, version)
	p.fetchDeadline = now.Add(fetchTimeout)
	return []Action{Send{Address: from.Address, Message: peer.ConfigWanted{Version: version}}}
}

// receiveVersion compares the version in a probe with the one in force. It requests a
// newer configuration, and announces its own to a peer that has an older one.
func (p *Propagator) receiveVersion(from peer.Sender, version uint64, now time.Time) []Action {
	if version > p.current.version {
		return p.requestNewer(from, version, now)
	}
	if version < p.current.version {
		head := peer.ConfigHead{Version: p.current.version, Digest: p.current.digest}
		return []Action{Send{Address: from.Address, Message: head}}
	}
	return nil
}

func (p *Propagator) sendText(from peer.Sender, m peer.ConfigWanted) []Action {
	if p.current.version < m.Version {
		return nil
	}
	text := peer.ConfigText{Version: p.current.version, Digest: p.current.digest, Text: p.current.text}
	return []Action{Send{Address: from.Address, Message: text}}
}

func (p *Propagator) receiveText(from peer.Sender, m peer.ConfigText) []Action {
	p.answered[from.VM] = true
	if m.Version == 0 {
		return nil
	}
	config, ok := NewConfig(m.Version, m.Digest, slices.Clone(m.Text))
	if !ok {
		return nil
	}
	if p.current.version > 0 {
		return p.adopt(config)
	}
	if config.version > p.candidate.version {
		p.candidate = config
	}
	return nil
}
