package requestwriter_test

import (
	"net/http"
	"net/url"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/requestwriter"
)

func request(method, target string, header http.Header) *http.Request {
	return &http.Request{Method: method, Host: "h", URL: &url.URL{Opaque: target}, Header: header}
}

func expectHead(t *testing.T, r *http.Request, bodyBytes int, want string) {
	t.Helper()
	got, err := requestwriter.Append([]byte("before "), r, bodyBytes)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, "before "+want)
}

func expectUnwritable(t *testing.T, r *http.Request) {
	t.Helper()
	_, err := requestwriter.Append(nil, r, 0)
	qt.Check(t, err, qt.ErrorIs, requestwriter.ErrUnwritable)
}

// Guards against: a target that begins with two slashes is written as an absolute one without a host.
func TestTargetIsWrittenAsItCame(t *testing.T) {
	expectHead(t, request("GET", "//a/b?x=1", nil), 0, "GET //a/b?x=1 HTTP/1.1\r\nHost: h\r\n\r\n")
	expectHead(t, request("POST", "/a%2F?", nil), 0, "POST /a%2F? HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
}

// Guards against: fields of a caller decide where its request ends.
func TestFramingIsTheWritersOwn(t *testing.T) {
	header := http.Header{
		"content-length": {"99"}, "Content-Length": {"98"}, "transfer-encoding": {"chunked"}, "host": {"other"},
		"Trailer": {"X"}, "X": {"1", "2", ""},
	}
	expectHead(t, request("PUT", "/", header), 3,
		"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nX: 1\r\nX: 2\r\nX: \r\n\r\n")
}

// Guards against: a request line, a field or a request inside another one.
func TestWhatWouldBeReadDifferentlyIsAnError(t *testing.T) {
	for _, target := range []string{"", "/a b", "/\r\nX: y", "/\x00", "/\x7f", "/%zz", "a"} {
		expectUnwritable(t, request("GET", target, nil))
	}
	for _, method := range []string{"", "G T", "GET\r\n", "\u00e9"} {
		expectUnwritable(t, request(method, "/", nil))
	}
	for name, value := range map[string]string{"": "", "a b": "", "a:": "", "A": "x\r\ny", "B": " x", "C": "x\t", "D": "\x00"} {
		expectUnwritable(t, request("GET", "/", http.Header{name: {value}}))
	}
	r := request("GET", "/", nil)
	r.Host = "h\r\nX: y"
	expectUnwritable(t, r)
}
