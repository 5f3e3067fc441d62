package narrowlink_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/standins/narrowlink"
)

const (
	bytesPerSecond = 1_000_000
	bodyBytes      = 200_000
	windowBytes    = 16 << 10
	clients        = 3
)

// newLink returns a link to a server that answers with bodyBytes, and the URL to reach it.
func newLink(t *testing.T) (*narrowlink.Link, string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, bodyBytes))
	}))
	t.Cleanup(server.Close)
	link := narrowlink.New(bytesPerSecond, narrowlink.WithWindow(windowBytes))
	t.Cleanup(link.Close)
	address, err := link.Listen("127.0.0.1:0", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	return link, "http://" + address
}

func TestConnectionsShareTheCapacity(t *testing.T) {
	link, url := newLink(t)
	began := time.Now()
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			response, err := http.Get(url)
			qt.Check(t, err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, response.Body.Close(), qt.IsNil)
			qt.Check(t, body, qt.HasLen, bodyBytes)
		})
	}
	group.Wait()
	const sent = time.Duration(clients) * bodyBytes * time.Second / bytesPerSecond
	qt.Check(t, time.Since(began) > sent*9/10, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
	qt.Check(t, link.Bytes() >= clients*bodyBytes, qt.IsTrue, qt.Commentf("%d bytes", link.Bytes()))
}

func TestClosedConnectionLeavesTheLink(t *testing.T) {
	link, url := newLink(t)
	response, err := http.Get(url)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(response.Body, make([]byte, windowBytes))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	time.Sleep(bodyBytes * time.Second / bytesPerSecond)
	qt.Check(t, link.Bytes() < bodyBytes/2, qt.IsTrue, qt.Commentf("%d bytes", link.Bytes()))
}
