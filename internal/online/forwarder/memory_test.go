package forwarder_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/standins/connserver"
)

// startAnswering starts an upstream that answers the first request of each connection with a text.
func startAnswering(t *testing.T, answer string) (address string) {
	t.Helper()
	return connserver.Start(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, answer)
		_, _ = io.Copy(io.Discard, conn) // until the client closes
	})
}

// answerWithHead returns an answer whose head has many fields and about as many bytes as given.
func answerWithHead(bytes int) string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n" + idHeader + ": id1\r\nContent-Length: 1\r\n")
	for n := 0; head.Len() < bytes; n++ {
		_, _ = fmt.Fprintf(&head, "%x:\r\n", n)
	}
	return head.String() + "\r\na"
}

// Guards against: heads of many answers that take more than the VM's memory together. A field of a few bytes
// takes many times as much once it is parsed.
func TestLongHeadsShareTheirMemory(t *testing.T) {
	const answers, budgetBytes, longHeadMemory = 16, 5 << 20, 2 << 20
	expectOpen := func(t *testing.T, headBytes, want int) {
		t.Helper()
		address, budget := startAnswering(t, answerWithHead(headBytes)), rationer.New(budgetBytes)
		f := newForwarder(t, forwarder.WithMemory(budget))
		var open []*forwarder.Answer
		for range answers {
			answer, err := f.Send(t.Context(), forwarder.Attempt{
				Request: &http.Request{Method: http.MethodGet, Host: "a", URL: &url.URL{Opaque: "/"}, Header: http.Header{}},
				ID:      "id1", Address: address,
			})
			if err != nil {
				qt.Check(t, errors.Is(err, forwarder.ErrNoMemory), qt.IsTrue, qt.Commentf("%v", err))
				continue
			}
			open = append(open, answer)
		}
		qt.Check(t, len(open), qt.Equals, want)
		for _, answer := range open {
			_, err := io.ReadAll(answer)
			qt.Check(t, err, qt.IsNil)
			answer.Close()
		}
		qt.Check(t, budget.Available(), qt.Equals, int64(budgetBytes))
	}
	t.Run("long", func(t *testing.T) { expectOpen(t, 120<<10, budgetBytes/longHeadMemory) })
	t.Run("short", func(t *testing.T) { expectOpen(t, 8<<10, answers) })
}
