// Package peer has the messages that entry VMs exchange, encoded as CBOR.
package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
)

// ProtocolVersion is the version of the messages between VMs.
const ProtocolVersion = 1

// ErrBadMessage is wrapped by every error of this package.
var ErrBadMessage = errors.New("bad peer message")

// Kind is the type of a message.
type Kind uint8

// The kinds of message. Numbers are never reused.
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
	_ // was an answer to KindStrikes
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

// String returns the kind's name, as counters show it.
func (k Kind) String() string {
	if name, found := kindNames[k]; found {
		return name
	}
	return fmt.Sprintf("kind%d", uint8(k))
}

// Message is one typed message.
type Message interface {
	Kind() Kind
}

// Sender identifies the process that sent a message.
type Sender struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
}

// incarnationsPerProcess is the number of incarnations that one process may
// use to refute suspicions of itself.
const incarnationsPerProcess = 1000

// FirstIncarnation returns the first incarnation of a process. Processes of a
// VM have rising numbers, such as their start in Unix milliseconds.
func FirstIncarnation(process uint64) uint64 { return process * incarnationsPerProcess }

// Process returns the number of the sender's process.
func (s Sender) Process() uint64 { return s.Incarnation / incarnationsPerProcess }

// MemberState is what a VM believes of another.
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

// Rumour tells what somebody believes of a member.
type Rumour struct {
	Member Sender      `cbor:"1,keyasint"`
	State  MemberState `cbor:"2,keyasint"`
}

// Probe asks whether a VM lives.
type Probe struct {
	Sequence      uint64   `cbor:"1,keyasint"`
	Rumours       []Rumour `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64   `cbor:"3,keyasint"`
}

// ProbeAck answers a probe.
type ProbeAck struct {
	Sequence      uint64   `cbor:"1,keyasint"`
	Rumours       []Rumour `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64   `cbor:"3,keyasint"`
}

// ProbeRequest asks a VM to probe another in the sender's place.
type ProbeRequest struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Target   Sender `cbor:"2,keyasint"`
}

// ConfigHead tells of the newest configuration that the sender knows.
type ConfigHead struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

// ConfigWanted asks for a configuration at least as new as a version.
type ConfigWanted struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ConfigText is a whole configuration.
type ConfigText struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Text    []byte `cbor:"3,keyasint"`
}

// UpstreamCount is the number of requests on one upstream.
type UpstreamCount struct {
	Upstream string `cbor:"1,keyasint"`
	Online   int    `cbor:"2,keyasint"`
	// Batch is the number of batch requests, where the keeper tells.
	Batch int `cbor:"3,keyasint,omitempty"`
	// PromptBytes is the size of the long prompts that have no token yet.
	PromptBytes int `cbor:"4,keyasint,omitempty"`
}

// OnlineCounts tells the keeper of upstreams how many online requests the
// sender has on each of them.
type OnlineCounts struct {
	Counts []UpstreamCount `cbor:"1,keyasint"`
}

// OnlineTotals answers OnlineCounts with the requests of all other VMs.
type OnlineTotals struct {
	Others []UpstreamCount `cbor:"1,keyasint"`
}

// UpstreamState is what the keeper of an upstream knows of it.
type UpstreamState struct {
	Upstream string   `cbor:"1,keyasint"`
	Leaving  bool     `cbor:"2,keyasint"`
	Models   []string `cbor:"3,keyasint"`
	Sequence uint64   `cbor:"4,keyasint"`
}

// UpstreamStates tells of changes of upstreams that the sender looks after.
type UpstreamStates struct {
	States []UpstreamState `cbor:"1,keyasint"`
}

// Strike is a suspicion that a request crashes upstreams.
type Strike struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"`
}

// Strikes tells of suspects.
type Strikes struct {
	Strikes []Strike `cbor:"2,keyasint"`
	// Relay asks the receiver to tell its own failure domain.
	Relay bool `cbor:"3,keyasint"`
}

// JobCancelled tells that a job was cancelled.
type JobCancelled struct {
	Job string `cbor:"1,keyasint"`
	// Relay asks the receiver to tell its own failure domain.
	Relay bool `cbor:"2,keyasint"`
}

// ChunksWanted asks the VM that looks for work for chunks to run.
type ChunksWanted struct {
	Model string `cbor:"1,keyasint"`
	Most  int    `cbor:"2,keyasint"`
	// Orphans tells that only chunks whose owner is gone are wanted.
	Orphans bool `cbor:"3,keyasint,omitempty"`
}

// ChunksOffered names chunks that may be claimed.
type ChunksOffered struct {
	Model  string     `cbor:"1,keyasint"`
	Chunks []ChunkRef `cbor:"2,keyasint"`
}

// ChunkRef names one chunk of a job.
type ChunkRef struct {
	Job    string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
	// OwnerVM and OwnerProcess are the owner that the chunk is claimed from.
	OwnerVM      string `cbor:"3,keyasint,omitempty"`
	OwnerProcess uint64 `cbor:"4,keyasint,omitempty"`
}

// SlowSeen tells the VMs of a domain that an upstream is slow, long before its
// load report does.
type SlowSeen struct {
	Upstream string `cbor:"1,keyasint"`
	// Percent is how long the upstream takes, of a typical one.
	Percent int `cbor:"2,keyasint"`
}

// Kind implements Message.
func (SlowSeen) Kind() Kind { return KindSlowSeen }

// IsolationWanted asks the keeper of an upstream to let no other suspect run
// there while one of the sender does.
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

// IsolationEnded tells that the suspect's run is over.
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

// VMList is the platform's list of VMs as the sender last read it. A VM that
// starts while the platform can't be reached gets it from a peer.
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

// envelope is a message on the wire.
type envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	From    Sender          `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
}

// Encode returns the bytes of a message.
func Encode(from Sender, message Message) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadMessage, err)
	}
	text, err := cbor.Marshal(envelope{Version: ProtocolVersion, Kind: message.Kind(), From: from, Body: body})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadMessage, err)
	}
	return text, nil
}

// Decode reads a message.
func Decode(text []byte) (Sender, Message, error) {
	var e envelope
	if err := cbor.Unmarshal(text, &e); err != nil {
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
	err := cbor.Unmarshal(body, &message)
	return message, err
}
