// Package peer defines the messages that entry VMs exchange, and their CBOR encoding.
package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
)

// ProtocolVersion is the version of the message format. Decode rejects others.
const ProtocolVersion = 1

// ErrBadMessage is wrapped by every error of this package.
var ErrBadMessage = errors.New("malformed peer message")

// Kind identifies the type of a message on the wire.
type Kind uint8

// The kinds of messages. Numbers are part of the wire format and are never reused.
const (
	KindProbe Kind = iota + 1
	KindProbeAck
	KindProbeRequest
	KindConfigHead
	KindConfigWanted
	KindConfigText
	KindOnlineCounts
	KindOnlineTotals
	KindUpstreamStates
	KindStrikes
	_ // formerly a reply to KindStrikes
	KindJobCancelled
	KindChunksWanted
	KindChunksOffered
	KindVMList
	KindSlowSeen
	KindIsolationWanted
	KindIsolationAnswered
	KindIsolationEnded
)

var kindNames = map[Kind]string{
	KindProbe: "probe", KindProbeAck: "probeAck", KindProbeRequest: "probeRequest",
	KindConfigHead: "configHead", KindConfigWanted: "configWanted", KindConfigText: "configText",
	KindOnlineCounts: "onlineCounts", KindOnlineTotals: "onlineTotals", KindUpstreamStates: "upstreamStates",
	KindStrikes: "strikes", KindJobCancelled: "jobCancelled",
	KindChunksWanted: "chunksWanted", KindChunksOffered: "chunksOffered",
	KindVMList: "vmList", KindSlowSeen: "slowSeen",
	KindIsolationWanted: "isolationWanted", KindIsolationAnswered: "isolationAnswered",
	KindIsolationEnded: "isolationEnded",
}

// String returns the kind's name, as used in metric labels.
func (k Kind) String() string {
	if name, found := kindNames[k]; found {
		return name
	}
	return fmt.Sprintf("kind%d", uint8(k))
}

// Message is a message of any kind.
type Message interface {
	Kind() Kind
}

// Sender identifies the process that sent a message.
type Sender struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
}

// incarnationsPerProcess is the number of incarnations that one process may use to
// refute rumours that it is suspect or dead.
const incarnationsPerProcess = 1000

// FirstIncarnation returns the first incarnation of a process. Each process of a VM
// has a higher number than the one before, such as its start in Unix milliseconds.
func FirstIncarnation(process uint64) uint64 { return process * incarnationsPerProcess }

// Process returns the number of the sender's process.
func (s Sender) Process() uint64 { return s.Incarnation / incarnationsPerProcess }

// MemberState is the state of a member of the failure domain, as a peer sees it.
type MemberState uint8

// The states of a member.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberDead
)

// String returns the state's name.
func (s MemberState) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead"}[s]
}

// Rumour spreads the state of a member. It is sent along with probes and their
// acknowledgements.
type Rumour struct {
	Member Sender      `cbor:"1,keyasint"`
	State  MemberState `cbor:"2,keyasint"`
}

// Probe checks whether a VM is alive.
type Probe struct {
	Sequence      uint64   `cbor:"1,keyasint"`
	Rumours       []Rumour `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64   `cbor:"3,keyasint"`
}

// ProbeAck acknowledges a Probe.
type ProbeAck struct {
	Sequence      uint64   `cbor:"1,keyasint"`
	Rumours       []Rumour `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64   `cbor:"3,keyasint"`
}

// ProbeRequest asks a VM to probe Target on the sender's behalf.
type ProbeRequest struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Target   Sender `cbor:"2,keyasint"`
}

// ConfigHead announces the configuration that the sender has in force.
type ConfigHead struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

// ConfigWanted requests a configuration of at least the given version. A starting VM
// sends version 0, and gets whatever the receiver has.
type ConfigWanted struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ConfigText is a complete configuration.
type ConfigText struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Text    []byte `cbor:"3,keyasint"`
}

// UpstreamCount is the load that one or more VMs have on one upstream.
type UpstreamCount struct {
	Upstream string `cbor:"1,keyasint"`
	Online   int    `cbor:"2,keyasint"`
	// Batch is the number of batch requests. Only the upstream's owner sets it.
	Batch int `cbor:"3,keyasint,omitempty"`
	// PromptBytes is the size of the long prompts whose first token is outstanding.
	PromptBytes int `cbor:"4,keyasint,omitempty"`
}

// OnlineCounts reports to the owner of upstreams how many online requests the sender
// has on each of them.
type OnlineCounts struct {
	Counts []UpstreamCount `cbor:"1,keyasint"`
}

// OnlineTotals reports the load that all VMs but the receiver have on upstreams that
// the sender owns. It also answers OnlineCounts from other failure domains.
type OnlineTotals struct {
	Totals []UpstreamCount `cbor:"1,keyasint"`
}

// UpstreamState is the state of an upstream, as its owner reports it.
type UpstreamState struct {
	Upstream string   `cbor:"1,keyasint"`
	Leaving  bool     `cbor:"2,keyasint"`
	Models   []string `cbor:"3,keyasint"`
	// Sequence is part of the wire format, but senders leave it at 0 and receivers ignore it.
	Sequence uint64 `cbor:"4,keyasint"`
}

// UpstreamStates reports upstreams whose state has changed, and all that the sender
// owns to a VM that has joined.
type UpstreamStates struct {
	States []UpstreamState `cbor:"1,keyasint"`
}

// Strike is the number of upstream crashes that a request is suspected of.
type Strike struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"`
}

// Strikes reports requests that are suspected of crashing upstreams.
type Strikes struct {
	Strikes []Strike `cbor:"2,keyasint"`
	// Relay asks the receiver to forward the message within its failure domain.
	Relay bool `cbor:"3,keyasint"`
}

// JobCancelled reports that a job was canceled.
type JobCancelled struct {
	Job string `cbor:"1,keyasint"`
	// Relay asks the receiver to forward the message within its failure domain.
	Relay bool `cbor:"2,keyasint"`
}

// ChunksWanted requests chunks to run from the VM that scans for the model's work.
type ChunksWanted struct {
	Model     string `cbor:"1,keyasint"`
	MaxChunks int    `cbor:"2,keyasint"`
	// Orphans limits the request to chunks whose owner is gone.
	Orphans bool `cbor:"3,keyasint,omitempty"`
}

// ChunksOffered lists chunks that the receiver may claim.
type ChunksOffered struct {
	Model  string     `cbor:"1,keyasint"`
	Chunks []ChunkRef `cbor:"2,keyasint"`
}

// ChunkRef identifies one chunk of a job.
type ChunkRef struct {
	Job    string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
	// OwnerVM and OwnerProcess identify the owner that the chunk is claimed from.
	OwnerVM      string `cbor:"3,keyasint,omitempty"`
	OwnerProcess uint64 `cbor:"4,keyasint,omitempty"`
}

// SlowSeen reports to the VMs of a domain that an upstream is slow, long before its
// load report shows it.
type SlowSeen struct {
	Upstream string `cbor:"1,keyasint"`
	// Percent is the upstream's slowness; 100 is a typical upstream.
	Percent int `cbor:"2,keyasint"`
}

// Kind implements Message.
func (SlowSeen) Kind() Kind { return KindSlowSeen }

// IsolationWanted asks the owner of an upstream to admit no other suspect request
// there while the sender's suspect runs.
type IsolationWanted struct {
	Sequence    uint64 `cbor:"1,keyasint"`
	Upstream    string `cbor:"2,keyasint"`
	Fingerprint uint64 `cbor:"3,keyasint"`
}

// IsolationAnswered answers IsolationWanted.
type IsolationAnswered struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Granted  bool   `cbor:"2,keyasint"`
}

// IsolationEnded ends the isolation of a suspect.
type IsolationEnded struct {
	Upstream    string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
}

// Kind implements Message.
func (IsolationWanted) Kind() Kind { return KindIsolationWanted }

// Kind implements Message.
func (IsolationAnswered) Kind() Kind { return KindIsolationAnswered }

// Kind implements Message.
func (IsolationEnded) Kind() Kind { return KindIsolationEnded }

// VMList is the platform's list of VMs as the sender last read it. A VM that starts
// while the platform can't be reached gets the list from a peer.
type VMList struct {
	VMs []vmlister.VM `cbor:"1,keyasint"`
}

// Kind implements Message.
func (VMList) Kind() Kind { return KindVMList }

// Kind implements Message.
func (Probe) Kind() Kind { return KindProbe }

// Kind implements Message.
func (ProbeAck) Kind() Kind { return KindProbeAck }

// Kind implements Message.
func (ProbeRequest) Kind() Kind { return KindProbeRequest }

// Kind implements Message.
func (ConfigHead) Kind() Kind { return KindConfigHead }

// Kind implements Message.
func (ConfigWanted) Kind() Kind { return KindConfigWanted }

// Kind implements Message.
func (ConfigText) Kind() Kind { return KindConfigText }

// Kind implements Message.
func (OnlineCounts) Kind() Kind { return KindOnlineCounts }

// Kind implements Message.
func (OnlineTotals) Kind() Kind { return KindOnlineTotals }

// Kind implements Message.
func (UpstreamStates) Kind() Kind { return KindUpstreamStates }

// Kind implements Message.
func (Strikes) Kind() Kind { return KindStrikes }

// Kind implements Message.
func (JobCancelled) Kind() Kind { return KindJobCancelled }

// Kind implements Message.
func (ChunksWanted) Kind() Kind { return KindChunksWanted }

// Kind implements Message.
func (ChunksOffered) Kind() Kind { return KindChunksOffered }

// envelope is the outer structure of every message on the wire.
type envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	From    Sender          `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
}

// Encode returns the wire format of a message.
func Encode(from Sender, message Message) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadMessage, err)
	}
	data, err := cbor.Marshal(envelope{Version: ProtocolVersion, Kind: message.Kind(), From: from, Body: body})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadMessage, err)
	}
	return data, nil
}

// Decode parses a message. Its errors wrap ErrBadMessage. If the envelope was parsed,
// the sender is returned along with the error.
func Decode(data []byte) (Sender, Message, error) {
	var e envelope
	if err := lenientdecoder.Decode(data, &e); err != nil {
		return Sender{}, nil, fmt.Errorf("%w: %w", ErrBadMessage, err)
	}
	if e.Version != ProtocolVersion {
		return e.From, nil, fmt.Errorf("%w: protocol version %d", ErrBadMessage, e.Version)
	}
	decode, found := decoders[e.Kind]
	if !found {
		return e.From, nil, fmt.Errorf("%w: unknown %s", ErrBadMessage, e.Kind)
	}
	message, err := decode(e.Body)
	if err != nil {
		return e.From, nil, fmt.Errorf("%w: %s: %w", ErrBadMessage, e.Kind, err)
	}
	return e.From, message, nil
}

var decoders = map[Kind]func([]byte) (Message, error){
	KindProbe: decodeAs[Probe], KindProbeAck: decodeAs[ProbeAck], KindProbeRequest: decodeAs[ProbeRequest],
	KindConfigHead: decodeAs[ConfigHead], KindConfigWanted: decodeAs[ConfigWanted],
	KindConfigText: decodeAs[ConfigText], KindOnlineCounts: decodeAs[OnlineCounts],
	KindOnlineTotals: decodeAs[OnlineTotals], KindUpstreamStates: decodeAs[UpstreamStates],
	KindStrikes: decodeAs[Strikes], KindJobCancelled: decodeAs[JobCancelled],
	KindChunksWanted: decodeAs[ChunksWanted], KindChunksOffered: decodeAs[ChunksOffered],
	KindVMList: decodeAs[VMList], KindSlowSeen: decodeAs[SlowSeen],
	KindIsolationWanted: decodeAs[IsolationWanted], KindIsolationAnswered: decodeAs[IsolationAnswered],
	KindIsolationEnded: decodeAs[IsolationEnded],
}

func decodeAs[T Message](body []byte) (Message, error) {
	var message T
	err := lenientdecoder.Decode(body, &message)
	return message, err
}
