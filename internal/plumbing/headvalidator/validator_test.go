package headvalidator_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// validate reads the head of an answer and validates it.
func validate(t *testing.T, text string, requestHeader http.Header) error {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Header: requestHeader})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	return headvalidator.Validate(answer)
}

// Guards against: an answer whose status is none counts as an interim one or as a success.
func TestStatuses(t *testing.T) {
	for name, text := range rawresponder.InvalidStatuses("A: b", "{}") {
		qt.Check(t, validate(t, text, nil), qt.ErrorIs, headvalidator.ErrInvalid, qt.Commentf(name))
	}
	for _, status := range []string{"100 Continue", "103 Early Hints", "200 OK", "204", "304 Not Modified", "418 I'm a teapot", "503 ", "999 Unassigned"} {
		qt.Check(t, validate(t, "HTTP/1.1 "+status+"\r\n\r\n", nil), qt.IsNil, qt.Commentf(status))
	}
	upgrade := http.Header{"Upgrade": {"websocket"}}
	qt.Check(t, validate(t, "HTTP/1.1 101 Switching Protocols\r\n\r\n", upgrade), qt.IsNil)
}

// Guards against: a field whose name is none hides where the body ends, or is passed on.
func TestNames(t *testing.T) {
	for name, text := range rawresponder.InvalidNames("A: b", "{}") {
		qt.Check(t, validate(t, text, nil), qt.IsNotNil, qt.Commentf(name))
	}
	for _, name := range []string{"a", "X-Name", "!#$%&'*+-.^_`|~0aZ"} {
		qt.Check(t, validate(t, "HTTP/1.1 200 OK\r\n"+name+":\tvalue \r\n\r\n", nil), qt.IsNil, qt.Commentf(name))
	}
}

// Guards against: sound values, and lines that continue the one before as RFC 9112 allows a reader to join them, fail answers.
func TestValues(t *testing.T) {
	for _, field := range []string{
		"X-Name: value\r\n and more", "X-Name: value\r\n : more", "Access-Control-Expose-Headers: Content-Length, Transfer-Encoding",
		"X-Name: \xff, : and \t", "X-Name:",
	} {
		qt.Check(t, validate(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nbody", nil), qt.IsNil, qt.Commentf(field))
	}
	text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Name: of content-length: 4\r\n\r\nbody"
	qt.Check(t, validate(t, text, nil), qt.IsNil, qt.Commentf("the length is known"))
}

// Guards against: a line as long as the head, of which each failed attempt keeps and logs a copy.
func TestErrorsAreShort(t *testing.T) {
	const maxErrorBytes = 400
	long := strings.Repeat("\xff", 64<<10)
	for _, text := range []string{"HTTP/1.1 000 " + long + "\r\n\r\n", "HTTP/1.1 200 OK\r\nX " + strings.Repeat("y", len(long)) + ": b\r\n\r\n"} {
		err := validate(t, text, nil)
		qt.Assert(t, err, qt.ErrorIs, headvalidator.ErrInvalid)
		qt.Check(t, len(err.Error()) <= maxErrorBytes, qt.IsTrue, qt.Commentf("%d bytes", len(err.Error())))
	}
}
