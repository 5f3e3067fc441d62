package tunneler_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// expectInvalidReply asks peer VMs that send the given replies for a connection.
func expectInvalidReply(t *testing.T, replies func(line, body string) map[string]string) {
	for name, reply := range replies("Fescuespindle-Tunnel: refused", "{}") {
		t.Run(name, func(t *testing.T) {
			server, err := rawresponder.New(func(int, *http.Request) string { return reply }, rawresponder.WithClose())
			qt.Assert(t, err, qt.IsNil)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err = tunneler.Open(ctx, (&net.Dialer{}).DialContext, server.Address(), "u 1", nil)
			qt.Check(t, err, qt.ErrorIs, headvalidator.ErrInvalid)
		})
	}
}

// Guards against: what a peer VM says of an upstream is believed although its status is none.
func TestReplyWithoutAValidStatusSaysNothing(t *testing.T) {
	expectInvalidReply(t, func(line, body string) map[string]string {
		replies := rawresponder.InvalidStatuses(line, body)
		for name, reply := range replies {
			if strings.HasPrefix(reply, "HTTP/1.1 101") { // it is what was asked for
				delete(replies, name)
			}
		}
		return replies
	})
}

// Guards against: what a peer VM says of an upstream is believed although its head has a field whose name is none.
func TestReplyWithAnInvalidNameSaysNothing(t *testing.T) {
	for name, reply := range rawresponder.InvalidNames("Fescuespindle-Tunnel: refused", "{}") {
		t.Run(name, func(t *testing.T) {
			server, err := rawresponder.New(func(int, *http.Request) string { return reply }, rawresponder.WithClose())
			qt.Assert(t, err, qt.IsNil)
			defer server.Close()
			_, err = tunneler.Open(t.Context(), (&net.Dialer{}).DialContext, server.Address(), "u 1", nil)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, err, qt.Not(qt.ErrorIs), tunneler.ErrRefused)
		})
	}
}
