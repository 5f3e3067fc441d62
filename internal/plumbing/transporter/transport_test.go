package transporter_test

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
	"github.com/fescuespindle/fescuespindle/internal/standins/connserver"
)

// maxBytesRead bounds what a transport reads of an endless head, with what it reads ahead.
const maxBytesRead = 72 << 10

// Guards against: a head without end, of which the standard transport keeps 10 MB for each request.
func TestEndlessHeadIsAborted(t *testing.T) {
	expectAborted := func(t *testing.T, begin, endless string) {
		t.Helper()
		var read connserver.ReadCounter
		client := &http.Client{Transport: transporter.New(read.Dial), Timeout: 20 * time.Second}
		began := time.Now()
		response, err := client.Get("http://" + connserver.StartEndless(t, begin, endless))
		if err == nil {
			_ = response.Body.Close()
		}
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, time.Since(began) < client.Timeout, qt.IsTrue, qt.Commentf("aborted only at its timeout"))
		qt.Check(t, read.Bytes() <= maxBytesRead, qt.IsTrue, qt.Commentf("%d bytes were read", read.Bytes()))
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	t.Run("fields", func(t *testing.T) { expectAborted(t, ok, "X-More: and more\r\n") })
	t.Run("short fields", func(t *testing.T) { expectAborted(t, ok, "a:\r\n") })
	t.Run("one field", func(t *testing.T) { expectAborted(t, ok+"X-Long: ", "more and more") })
	t.Run("status line", func(t *testing.T) { expectAborted(t, "HTTP/1.1 200 ", "O") })
	t.Run("no answer", func(t *testing.T) { expectAborted(t, "", "no answer at all") })
	t.Run("interim answers", func(t *testing.T) { expectAborted(t, "", "HTTP/1.1 100 Continue\r\n\r\n") })
	t.Run("interim answers with fields", func(t *testing.T) {
		expectAborted(t, "", "HTTP/1.1 103 Early Hints\r\nX-Long: "+strings.Repeat("more ", 10<<10)+"\r\n\r\n")
	})
}

// Guards against: a short compressed body that becomes a long one.
func TestNothingIsDecompressed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		compressor := gzip.NewWriter(w)
		_, _ = io.WriteString(compressor, strings.Repeat("a", 1<<20))
		_ = compressor.Close()
	}))
	defer server.Close()
	client := &http.Client{Transport: transporter.New(nil)}
	response, err := client.Get(server.URL)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(body) < 16<<10, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
}
