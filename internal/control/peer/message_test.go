package peer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
)

var sender = peer.Sender{VM: "entry-1", Incarnation: 7, Address: "127.0.0.1:8082"}

func messages() []peer.Message {
	return []peer.Message{
		peer.Probe{Sequence: 1, Rumours: []peer.Rumour{{Member: sender, State: peer.MemberSuspect}}, ConfigVersion: 3},
		peer.ProbeAck{Sequence: 1},
		peer.ProbeRequest{Sequence: 2, Target: sender},
		peer.ConfigHead{Version: 3, Digest: "sha256:00"},
		peer.ConfigWanted{Version: 3},
		peer.ConfigText{Version: 3, Digest: "sha256:00", Text: []byte("{}")},
		peer.OnlineCounts{Counts: []peer.UpstreamCount{{Upstream: "engine-1", Online: 4}}},
		peer.OnlineTotals{Totals: []peer.UpstreamCount{{Upstream: "engine-1", Online: 4, Batch: 2, PromptBytes: 8000}}},
		peer.UpstreamStates{States: []peer.UpstreamState{{Upstream: "engine-1", Leaving: true}}},
		peer.Strikes{Strikes: []peer.Strike{{Fingerprint: 9, Count: 2}}, Relay: true},
		peer.JobCancelled{Job: "batch_1"},
		peer.ChunksWanted{Model: "m", MaxChunks: 2},
		peer.ChunksOffered{Model: "m", Chunks: []peer.ChunkRef{{Job: "batch_1", Number: 2, OwnerVM: "v", OwnerProcess: 3}}},
		peer.VMList{VMs: []vmlister.VM{{ID: "entry-1", Kind: vmlister.KindEntry}}},
		peer.SlowSeen{Upstream: "e", Percent: 400},
		peer.IsolationWanted{Sequence: 1, Upstream: "e", Fingerprint: 9},
		peer.IsolationAnswered{Sequence: 1, Granted: true},
		peer.IsolationEnded{Upstream: "e", Fingerprint: 9},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, message := range messages() {
		t.Run(message.Kind().String(), func(t *testing.T) {
			text, err := peer.Encode(sender, message)
			qt.Assert(t, err, qt.IsNil)
			from, got, err := peer.Decode(text)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, from, qt.Equals, sender)
			qt.Check(t, got, qt.DeepEquals, message)
		})
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, text := range []string{"", "\xff", "\xa1\x01\x02", "not cbor at all"} {
		_, _, err := peer.Decode([]byte(text))
		qt.Check(t, err, qt.ErrorIs, peer.ErrBadMessage)
	}
}

func FuzzDecode(f *testing.F) {
	for _, message := range messages() {
		text, err := peer.Encode(sender, message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		from, message, err := peer.Decode(text)
		if err != nil {
			return
		}
		if _, err := peer.Encode(from, message); err != nil {
			t.Fatalf("encoding a decoded message failed: %v", err)
		}
	})
}
