package memberprober

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

// Member is one VM of the failure domain.
type Member struct {
	sender     peer.Sender
	state      peer.MemberState
	listed     bool
	leaving    bool
	stateUntil time.Time // end of the suspicion, or of the retention of a dead VM
}

// VM returns the member's ID.
func (m Member) VM() string { return m.sender.VM }

// Address returns the member's peer address.
func (m Member) Address() string { return m.sender.Address }

// Incarnation returns the member's incarnation number; its process number follows from it.
func (m Member) Incarnation() uint64 { return m.sender.Incarnation }

// State returns the member's state as this VM knows it.
func (m Member) State() peer.MemberState { return m.state }

// Leaving reports whether the platform's list has the member as leaving.
func (m Member) Leaving() bool { return m.leaving }
