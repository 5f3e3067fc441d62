package transporter_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// BenchmarkRoundTrip makes calls over one connection and reads their answers, as the store's client does.
func BenchmarkRoundTrip(b *testing.B) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 05:00:00 GMT\r\n" +
		"Content-Length: 2\r\n\r\n{}"
	server, err := rawresponder.New(func(int, *http.Request) string { return answer })
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	transport := transporter.New(nil)
	defer transport.CloseIdleConnections()
	body := strings.Repeat("x", 200)
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.Address(), strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
