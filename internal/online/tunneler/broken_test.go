package tunneler_test

import (
	"context"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// refusedLine says that the upstream refuses connections.
const refusedLine = "Fescuespindle-Tunnel: refused"

// expectNothingSaid asks peer VMs that send the given replies for a connection. They say nothing of the upstream.
func expectNothingSaid(t *testing.T, replies map[string]string) {
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			address := rawresponder.Start(t, reply)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := tunneler.Open(ctx, (&net.Dialer{}).DialContext, address, "u 1", nil)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, err, qt.Not(qt.ErrorIs), tunneler.ErrRefused)
			qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("failed only when its context ended"))
		})
	}
}

// Guards against: what a peer VM says of an upstream is believed although its status is none.
func TestReplyWithoutAValidStatusSaysNothing(t *testing.T) {
	replies := rawresponder.InvalidStatuses(refusedLine, "{}")
	maps.DeleteFunc(replies, func(_, reply string) bool {
		return strings.HasPrefix(reply, "HTTP/1.1 101") // it is what was asked for
	})
	expectNothingSaid(t, replies)
}

// Guards against: what a peer VM says of an upstream is believed although its head has a field whose name is none.
func TestReplyWithAnInvalidNameSaysNothing(t *testing.T) {
	expectNothingSaid(t, rawresponder.InvalidNames(refusedLine, "{}"))
}
