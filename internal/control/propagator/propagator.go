// Package propagator decides which configuration a VM has in force and how it
// learns of newer ones. It is a deterministic core: a function of its state, an
// event and the time.
//
// Few VMs of a failure domain read the store; they tell the others, who fetch
// the text from whoever told them. Every probe between VMs carries the version
// too, which repairs what a lost message or a cut left behind.
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
	// ReadersPerDomain is the number of VMs of a domain that read the store.
	ReadersPerDomain = 2
	// ReadPeriod is the time between two reads of a reader.
	ReadPeriod = 400 * time.Millisecond
	// idleReadPeriod is the time after which every VM reads the store for
	// itself, in case its domain's readers can't.
	idleReadPeriod = 15 * time.Second
	fetchTimeout   = time.Second
	// readTimeout is the time after which a read whose answer never came, such
	// as one that was lost while the process was paused, is made again.
	readTimeout  = 5 * time.Second
	startTimeout = 1500 * time.Millisecond
)

// Config is one accepted configuration.
type Config struct {
	version uint64
	digest  string
	text    []byte
}

// NewConfig returns a configuration whose text has the digest, or false.
func NewConfig(version uint64, digest string, text []byte) (Config, bool) {
	sum := sha256.Sum256(text)
	if "sha256:"+hex.EncodeToString(sum[:]) != digest {
		return Config{}, false
	}
	return Config{version: version, digest: digest, text: text}, true
}

// Version returns the number of the configuration; 0 means none.
func (c Config) Version() uint64 { return c.version }

// Digest returns the digest that the auditors signed.
func (c Config) Digest() string { return c.digest }

// Text returns the canonical text.
func (c Config) Text() []byte { return c.text }

// Peer is another VM of the domain.
type Peer struct {
	VM      string
	Address string
}

// Action is something that the core wants done.
type Action interface{ isAction() }

// ReadHead asks for the newest version in the store.
type ReadHead struct{}

// ReadText asks for a text from the store.
type ReadText struct {
	Version uint64
	Digest  string
}

// Send asks for a message to a peer.
type Send struct {
	Address string
	Message peer.Message
}

// Adopt puts a configuration in force.
type Adopt struct{ Config Config }

func (ReadHead) isAction() {}
func (ReadText) isAction() {}
func (Send) isAction()     {}
func (Adopt) isAction()    {}

// Propagator is the state of one VM.
type Propagator struct {
	self      string
	peers     []Peer
	seeds     []string
	seedAt    time.Time
	current   Config
	wanted    uint64
	fetchTo   time.Time
	readAt    time.Time
	reading   bool
	readUntil time.Time // the answer to the read under way is given up then
	storeSeen bool
	started   time.Time
	best      Config // newest text while the VM is starting
	asked     map[string]bool
	answered  map[string]bool
}

// New returns a propagator without a configuration.
func New(self string) *Propagator {
	return &Propagator{self: self, asked: map[string]bool{}, answered: map[string]bool{}}
}

// Current returns the configuration in force.
func (p *Propagator) Current() Config { return p.current }

// Reason tells why no configuration is in force, or "".
func (p *Propagator) Reason() string {
	switch {
	case p.current.version > 0:
		return ""
	case p.storeSeen:
		return "no configuration has been applied yet"
	case len(p.peers) == 0:
		return "the store can't be read and no peer is known"
	default:
		return "the store can't be read and no peer has a configuration"
	}
}

// SetPeers sets the live VMs of the domain.
func (p *Propagator) SetPeers(peers []Peer) { p.peers = peers }

// SetSeeds sets the addresses that are asked while no peer is known.
func (p *Propagator) SetSeeds(addresses []string) { p.seeds = addresses }

// IsReader tells whether this VM reads the store for its domain: its hash is
// among the lowest of the live VMs.
func (p *Propagator) IsReader() bool {
	own := xxhash.Sum64String("config/" + p.self)
	lower := 0
	for _, other := range p.peers {
		if xxhash.Sum64String("config/"+other.VM) < own {
			lower++
		}
	}
	return lower < ReadersPerDomain
}

// Tick advances time.
func (p *Propagator) Tick(now time.Time) []Action {
	if p.started.IsZero() {
		p.started = now
	}
	var out []Action
	if p.reading && now.After(p.readUntil) {
		p.reading = false
	}
	if !p.reading && !now.Before(p.readAt) {
		p.reading = true
		p.readUntil = now.Add(readTimeout)
		out = append(out, ReadHead{})
	}
	if p.current.version == 0 {
		out = append(out, p.start(now)...)
	}
	if p.wanted > p.current.version && !p.fetchTo.IsZero() && now.After(p.fetchTo) {
		// Whoever told of the version did not send it; any other peer or the
		// store will do.
		p.fetchTo = time.Time{}
		p.readAt = now
	}
	return out
}

// start asks each peer once for its configuration. A starting VM must not
// serve by an old copy, so it takes the newest of what all peers that answer
// have, and waits for the store first.
func (p *Propagator) start(now time.Time) []Action {
	var out []Action
	for _, other := range p.peers {
		if !p.asked[other.VM] {
			p.asked[other.VM] = true
			out = append(out, Send{Address: other.Address, Message: peer.ConfigWanted{}})
		}
	}
	out = append(out, p.askSeeds(now)...)
	if p.best.version == 0 {
		return out
	}
	if (len(p.peers) > 0 && p.allAnswered()) || now.Sub(p.started) > startTimeout {
		return append(out, p.adopt(p.best)...)
	}
	return out
}

// askSeeds asks the seeds again and again until a configuration is known.
func (p *Propagator) askSeeds(now time.Time) []Action {
	if now.Before(p.seedAt) {
		return nil
	}
	p.seedAt = now.Add(fetchTimeout)
	var out []Action
	for _, address := range p.seeds {
		out = append(out, Send{Address: address, Message: peer.ConfigWanted{}})
	}
	return out
}

func (p *Propagator) allAnswered() bool {
	for _, other := range p.peers {
		if !p.answered[other.VM] {
			return false
		}
	}
	return true
}

func (p *Propagator) nextRead(now time.Time) time.Time {
	if p.IsReader() || p.current.version == 0 {
		return now.Add(ReadPeriod)
	}
	return now.Add(idleReadPeriod)
}

// HeadRead takes the store's answer to ReadHead. A version of 0 means that the
// store has no configuration.
func (p *Propagator) HeadRead(version uint64, digest string, err error, now time.Time) []Action {
	p.reading = false
	p.readAt = p.nextRead(now)
	if err != nil {
		return nil
	}
	p.storeSeen = true
	if version <= p.current.version {
		return nil
	}
	if version == p.best.version {
		return p.adopt(p.best)
	}
	p.wanted = max(p.wanted, version)
	return []Action{ReadText{Version: version, Digest: digest}}
}

// TextRead takes the store's answer to ReadText.
func (p *Propagator) TextRead(config Config, err error, now time.Time) []Action {
	if err != nil {
		p.readAt = now.Add(ReadPeriod)
		return nil
	}
	return p.adopt(config)
}

// adopt puts a newer configuration in force. An older one, or the same again,
// changes nothing: this is what keeps versions from going back.
func (p *Propagator) adopt(config Config) []Action {
	if config.version <= p.current.version {
		return nil
	}
	p.current = config
	p.fetchTo = time.Time{}
	out := []Action{Adopt{Config: config}}
	if !p.IsReader() {
		return out
	}
	head := peer.ConfigHead{Version: config.version, Digest: config.digest}
	for _, other := range p.peers {
		out = append(out, Send{Address: other.Address, Message: head})
	}
	return out
}

// Receive takes a message from a peer.
func (p *Propagator) Receive(from peer.Sender, message peer.Message, now time.Time) []Action {
	switch m := message.(type) {
	case peer.ConfigHead:
		return p.heard(from, m.Version, now)
	case peer.Probe:
		return p.compare(from, m.ConfigVersion, now)
	case peer.ProbeAck:
		return p.compare(from, m.ConfigVersion, now)
	case peer.ConfigWanted:
		return p.answer(from, m)
	case peer.ConfigText:
		return p.textReceived(from, m)
	default:
		return nil
	}
}

// heard asks a peer for a newer configuration that it has.
func (p *Propagator) heard(from peer.Sender, version uint64, now time.Time) []Action {
	if version <= p.current.version {
		return nil
	}
	if version <= p.wanted && now.Before(p.fetchTo) {
		return nil
	}
	p.wanted = max(p.wanted, version)
	p.fetchTo = now.Add(fetchTimeout)
	return []Action{Send{Address: from.Address, Message: peer.ConfigWanted{Version: version}}}
}

// compare takes the version that came on a probe, and tells a peer that
// is behind.
func (p *Propagator) compare(from peer.Sender, version uint64, now time.Time) []Action {
	if version > p.current.version {
		return p.heard(from, version, now)
	}
	if version < p.current.version {
		head := peer.ConfigHead{Version: p.current.version, Digest: p.current.digest}
		return []Action{Send{Address: from.Address, Message: head}}
	}
	return nil
}

func (p *Propagator) answer(from peer.Sender, m peer.ConfigWanted) []Action {
	if p.current.version < m.Version {
		return nil
	}
	text := peer.ConfigText{Version: p.current.version, Digest: p.current.digest, Text: p.current.text}
	return []Action{Send{Address: from.Address, Message: text}}
}

func (p *Propagator) textReceived(from peer.Sender, m peer.ConfigText) []Action {
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
	if config.version > p.best.version {
		p.best = config
	}
	return nil
}
