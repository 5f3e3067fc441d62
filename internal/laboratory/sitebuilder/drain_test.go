package sitebuilder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
)

// Guards against: a request that comes over an open connection while a VM shuts down gets no answer, in
// the product's own interface.
func TestRequestOnOpenConnectionOfAStoppingVMIsAnswered(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	site, spec := startSite(ctx, t)
	vm := site.VMs[0]
	var conns []net.Conn
	for range 10 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(vm.URL(), "http://"))
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	// Connections are accepted in order: once a later one is served, all are accepted. One that is not when
	// the listener is closed is reset by the kernel.
	_, err := site.Requester(vm, sitebuilder.OnlineToken).Complete(ctx, spec.Model, "verse", 3)
	qt.Assert(t, err, qt.IsNil)
	var group sync.WaitGroup
	group.Go(func() { qt.Check(t, vm.Shutdown(ctx), qt.IsNil) })
	for n, conn := range conns {
		time.Sleep(100 * time.Millisecond)
		body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"verse"}],"max_tokens":3}`, spec.Model)
		_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n"+
			"Content-Length: %d\r\n\r\n%s", sitebuilder.OnlineToken, len(body), body)
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("connection %d", n))
		_, err = io.Copy(io.Discard, response.Body)
		qt.Check(t, err, qt.IsNil)
		isAnswered := response.StatusCode == http.StatusOK || response.StatusCode == http.StatusServiceUnavailable
		qt.Check(t, isAnswered, qt.IsTrue, qt.Commentf("status %d", response.StatusCode))
	}
	group.Wait()
}
