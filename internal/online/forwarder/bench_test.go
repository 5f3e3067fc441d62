package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// BenchmarkSend sends requests over one connection and reads their answers, which have the fields of usual ones.
func BenchmarkSend(b *testing.B) {
	body := strings.Repeat("x", 200)
	fields := "Content-Type: text/plain\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,8,100\r\nKeep-Alive: timeout=20\r\n" +
		"Date: Mon, 07 Dec 2026 05:00:00 GMT\r\nX-Versions: 1\r\n"
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id\r\n%sContent-Length: %d\r\n\r\n%s", idHeader, fields, len(body), body)
	server, err := rawresponder.New(func(_ int, r *http.Request) string {
		return strings.Replace(answer, ": id\r\n", ": "+r.Header.Get(idHeader)+"\r\n", 1)
	})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	f := forwarder.New(func(h http.Header) string { return h.Get(idHeader) })
	defer f.Close()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		id := fmt.Sprint(n)
		answer, err := f.Send(b.Context(), forwarder.Attempt{
			Request: &http.Request{Method: http.MethodPost, Host: "a", URL: &url.URL{Opaque: "/x"}, Header: http.Header{idHeader: {id}}},
			ID:      id, Address: server.Address(), Body: []byte(body),
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer); err != nil {
			b.Fatal(err)
		}
		answer.Close()
	}
}
