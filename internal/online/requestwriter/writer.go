// Package requestwriter writes requests in the format of HTTP/1.1 exactly as they came: the recipient reads
// the method, the target and the values of the fields that it is given, byte for byte. What can't be written
// so that it is read back unchanged is an error.
//
// http.Request.Write is not used, since it changes some requests without an error: a target that begins with
// two slashes becomes an absolute one, fields with invalid names are left out, line breaks in values become
// spaces, and other control characters are written as they are.
package requestwriter

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// ErrUnwritable means that a request can't be written so that its recipient reads it unchanged.
var ErrUnwritable = errors.New("request can't be written unchanged")

// framing are the fields that Append sets itself or that belong to the framing of the message.
var framing = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// Append appends the head of a request to a buffer. The target is request.URL.Opaque, and the body has
// bodyBytes bytes, which the caller writes after the head. It returns ErrUnwritable.
func Append(buffer []byte, request *http.Request, bodyBytes int) ([]byte, error) {
	target := request.URL.Opaque
	if !isToken(request.Method) {
		return buffer, fmt.Errorf("%w: method %q", ErrUnwritable, request.Method)
	}
	if err := CheckTarget(target); err != nil {
		return buffer, err
	}
	buffer = append(buffer, request.Method+" "+target+" HTTP/1.1\r\n"...)
	buffer, err := appendField(buffer, "Host", request.Host)
	if err != nil {
		return buffer, err
	}
	if bodyBytes > 0 || hasBodyByDefault(request.Method) {
		buffer = append(buffer, "Content-Length: "+strconv.Itoa(bodyBytes)+"\r\n"...)
	}
	for _, name := range slices.Sorted(maps.Keys(request.Header)) {
		if framing[http.CanonicalHeaderKey(name)] {
			continue
		}
		for _, value := range request.Header[name] {
			if buffer, err = appendField(buffer, name, value); err != nil {
				return buffer, err
			}
		}
	}
	return append(buffer, "\r\n"...), nil
}

// hasBodyByDefault returns whether a recipient expects the length even of an empty body.
func hasBodyByDefault(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func appendField(buffer []byte, name, value string) ([]byte, error) {
	if err := CheckField(name, value); err != nil {
		return buffer, err
	}
	return append(buffer, name+": "+value+"\r\n"...), nil
}

// CheckTarget returns ErrUnwritable if a request target can't be read back as it is.
func CheckTarget(target string) error {
	if strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == '\x7f' }) {
		return fmt.Errorf("%w: target %q", ErrUnwritable, target)
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return fmt.Errorf("%w: target: %w", ErrUnwritable, err)
	}
	return nil
}

// CheckField returns ErrUnwritable if a field can't be read back as it is: if its name is no token, or if its
// value has a control character, or white space at an end, which recipients remove.
func CheckField(name, value string) error {
	if !isToken(name) {
		return fmt.Errorf("%w: field name %q", ErrUnwritable, name)
	}
	isControl := func(r rune) bool { return (r < ' ' && r != '\t') || r == '\x7f' }
	if strings.Trim(value, " \t") != value || strings.ContainsFunc(value, isControl) {
		return fmt.Errorf("%w: field %s: value of %d bytes", ErrUnwritable, name, len(value)) // it may be a secret
	}
	return nil
}

// isToken returns whether a text is a token, as methods and names of fields are.
func isToken(text string) bool {
	isOther := func(r rune) bool {
		isAlphanumeric := (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}
	return text != "" && !strings.ContainsFunc(text, isOther)
}
