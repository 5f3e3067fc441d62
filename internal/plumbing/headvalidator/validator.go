// Package headvalidator decides whether the head of an answer is one that its reader may rely on. All readers of answers ask
// it, as the standard library is more lenient than a proxy may be: it takes any three characters for a status that can be
// read as a number.
package headvalidator

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalid means that a head is none. The answer must not be used, nor its connection any further.
var ErrInvalid = errors.New("invalid head of an answer")

// Validate returns an error that wraps ErrInvalid if the head of an answer, interim ones included, is none. The answer names the
// request that it is for.
func Validate(answer *http.Response) error {
	if answer.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %q", ErrInvalid, answer.Status)
	}
	if answer.StatusCode == http.StatusSwitchingProtocols && !asksForUpgrade(answer.Request) {
		return fmt.Errorf("%w: protocol switched without request", ErrInvalid)
	}
	return nil
}

// asksForUpgrade returns whether a request asks for another protocol. What follows an answer that switches to one is no HTTP.
func asksForUpgrade(request *http.Request) bool {
	return request != nil && request.Header.Get("Upgrade") != ""
}
