// Package headvalidator decides whether the head of an answer is one that its reader may rely on. All readers of answers ask
// it, as the standard library is more lenient than a proxy may be: it takes any three characters for a status that can be
// read as a number, names of fields with blanks, and lines that continue the one before.
//
// Where it is too lenient, the reader and the upstream disagree on where the body ends:
//
//	Transfer-Encoding : chunked       read as an unknown field; the marks of the chunks seem to be part of the body
//	X-Name: value
//	 Transfer-Encoding: chunked       read as a part of the value of X-Name; the same
//	HTTP/1.1 000                      read as an interim answer; what follows seems to be the answer
package headvalidator

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// maxQuotedChars bounds what an error quotes of a head, whose lines may be as long as the head.
const maxQuotedChars = 80

// ErrInvalid means that a head is none. The answer must not be used, nor its connection any further.
var ErrInvalid = errors.New("invalid head of an answer")

// Validate returns an error that wraps ErrInvalid if the head of an answer, interim ones included, is none. The answer names the
// request that it is for.
func Validate(answer *http.Response) error {
	if answer.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %.*q", ErrInvalid, maxQuotedChars, answer.Status)
	}
	if answer.StatusCode == http.StatusSwitchingProtocols && !asksForUpgrade(answer.Request) {
		return fmt.Errorf("%w: protocol switched without request", ErrInvalid)
	}
	for name := range answer.Header {
		if !isToken(name) {
			return fmt.Errorf("%w: field %.*q", ErrInvalid, maxQuotedChars, name)
		}
	}
	if IsUnframed(answer) && hidesLength(answer.Header) {
		return fmt.Errorf("%w: length or chunks in a continued line", ErrInvalid)
	}
	return nil
}

// IsUnframed returns whether the body of an answer has neither a length nor chunks, so that its end is that of the
// connection. An upstream that crashes closes its connections as well, which looks the same.
func IsUnframed(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

// asksForUpgrade returns whether a request asks for another protocol. What follows an answer that switches to one is no HTTP.
func asksForUpgrade(request *http.Request) bool {
	return request != nil && request.Header.Get("Upgrade") != ""
}

// tokenText has the bytes that the name of a field may have (RFC 9110, section 5.6.2).
const tokenText = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// tokenBytes says of each byte whether tokenText has it.
var tokenBytes = func() (allowed [256]bool) {
	for _, b := range []byte(tokenText) {
		allowed[b] = true
	}
	return allowed
}()

// isToken returns whether a text may be the name of a field.
func isToken(name string) bool {
	for n := range len(name) {
		if !tokenBytes[name[n]] {
			return false
		}
	}
	return name != ""
}

// hidesLength returns whether a value holds what would be a length or chunks on a line of its own. A line that begins with a
// blank continues the one before, so that the reader has joined them.
func hidesLength(header http.Header) bool {
	for _, values := range header {
		for _, value := range values {
			if holdsField(value, "content-length") || holdsField(value, "transfer-encoding") {
				return true
			}
		}
	}
	return false
}

// holdsField returns whether a value holds a name in lower case and a colon.
func holdsField(value, name string) bool {
	_, rest, found := strings.Cut(strings.ToLower(value), name)
	return found && strings.HasPrefix(strings.TrimLeft(rest, " \t"), ":")
}
