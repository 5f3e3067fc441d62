package rawresponder

import (
	"fmt"
	"net/http"
	"testing"
)

// Start answers each request with the same bytes and closes its connection in order, until the test ends. It returns the
// address.
func Start(t testing.TB, answer string) (address string) {
	t.Helper()
	server, err := New(func(int, *http.Request) string { return answer }, WithClose())
	if err != nil {
		t.Fatal("start responder: ", err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// InvalidStatuses returns answers whose status is none, by what is wrong with them. Their heads have the given line.
func InvalidStatuses(line, body string) map[string]string {
	rest := fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
	return map[string]string{
		"zero":                              "HTTP/1.1 000 None\r\n" + rest,
		"zero without a reason":             "HTTP/1.1 000\r\n" + rest,
		"below the interim ones":            "HTTP/1.1 099 Low\r\n" + rest,
		"with a sign":                       "HTTP/1.1 -00 None\r\n" + rest,
		"zero, a sound answer behind it":    "HTTP/1.1 000 None\r\n" + rest + "HTTP/1.1 200 OK\r\n" + rest,
		"zero without a body, the same":     "HTTP/1.1 000 None\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"protocol switched without request": "HTTP/1.1 101 Switching Protocols\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
	}
}

// InvalidNames returns answers in whose heads the name of a field is none, by what is wrong with them. Their heads have the given
// line. Where the field is the one that delimits the body, a lenient reader gets another body.
func InvalidNames(line, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	answer := func(field, body string) string {
		return "HTTP/1.1 200 OK\r\n" + line + "\r\n" + field + "\r\n\r\n" + body
	}
	return map[string]string{
		"blank at the end":              answer(length+"\r\nX-Name : value", body),
		"blank within":                  answer(length+"\r\nX Name: value", body),
		"blank, of the length":          answer(fmt.Sprintf("Content-Length : %d", len(body)), body+"more"),
		"blank, of the chunks":          answer("Transfer-Encoding : chunked", chunks),
		"blank, of two lengths":         answer("Content-Length: 0\r\n"+fmt.Sprintf("Content-Length : %d", len(body)), body),
		"continued line, of the length": answer("X-Name: value\r\n "+length, body+"more"),
		"continued line, of the chunks": answer("X-Name: value\r\n\tTRANSFER-ENCODING : chunked", chunks),
		"tab at the end":                answer(length+"\r\nX-Name\t: value", body),
		"tab, of the chunks":            answer("Transfer-Encoding\t: chunked", chunks),
		"control byte":                  answer(length+"\r\nX-\x01Name: value", body),
		"zero byte":                     answer(length+"\r\nX-Name\x00: value", body),
		"delete":                        answer(length+"\r\nX-Name\x7f: value", body),
		"carriage return within":        answer(length+"\r\nX-\rName: value", body),
		"byte past ASCII":               answer(length+"\r\nX-N\xffme: value", body),
		"empty":                         answer(length+"\r\n: value", body),
		"none":                          answer(length+"\r\nvalue", body),
		"blank, first line":             "HTTP/1.1 200 OK\r\n X-Name: value\r\n" + line + "\r\n" + length + "\r\n\r\n" + body,
	}
}
