// Package bodyreader reads the bodies of callers' requests within the limits of the
// configuration and the VM's memory budget.
package bodyreader

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// defaultBodyTimeout applies if the configuration has no header timeout, which also
	// limits the time to read a body.
	defaultBodyTimeout  = 10 * time.Second
	defaultMaxBodyBytes = 4 << 20
	// bodyChunkBytes is the step in which memory is reserved for a body of unknown
	// length.
	bodyChunkBytes = 64 << 10
)

// ErrNoMemory means that the VM's memory budget has no space for a request body.
var ErrNoMemory = errors.New("no memory for the request body")

// Read reads a request's body within the limits of the configuration and the
// VM's memory budget. The caller must release the reservation once it no longer holds
// the body, also after an error; the reservation may be nil.
//
// Read returns ErrNoMemory if the budget is exhausted, and *http.MaxBytesError if
// the body is too large.
func Read(
	w http.ResponseWriter, r *http.Request, limits router.Limits, memory *rationer.Rationer,
) ([]byte, *rationer.Reservation, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	timeout := limits.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultBodyTimeout
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, nil, fmt.Errorf("set the read deadline of a request body: %w", err)
	}
	reservation := memory.NewReservation()
	body, err := readLimited(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes, reservation)
	if err != nil {
		return nil, reservation, fmt.Errorf("read body: %w", err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, reservation, fmt.Errorf("set the read deadline of a request body: %w", err)
	}
	return body, reservation, nil
}

// readLimited reads a body of at most maxBytes. Memory for a body of unknown length is
// reserved in chunks as it arrives. A body that can't be held is read and discarded,
// because a caller that is still sending would not read the answer.
func readLimited(body io.Reader, length, maxBytes int64, reservation *rationer.Reservation) ([]byte, error) {
	switch {
	case length > maxBytes:
		_, err := io.Copy(io.Discard, body)
		return nil, err //nolint:wrapcheck // Read does
	case length > 0 && !reservation.Grow(length):
		_, err := io.Copy(io.Discard, body)
		return nil, cmp.Or(err, ErrNoMemory)
	case length > 0:
		content := make([]byte, length)
		_, err := io.ReadFull(body, content)
		return content, err //nolint:wrapcheck // Read does
	}
	var content []byte
	for {
		if !reservation.Grow(bodyChunkBytes) {
			_, err := io.Copy(io.Discard, body)
			return nil, cmp.Or(err, ErrNoMemory)
		}
		chunk, err := io.ReadAll(io.LimitReader(body, bodyChunkBytes))
		content = append(content, chunk...)
		if err != nil || len(chunk) < bodyChunkBytes {
			return content, err //nolint:wrapcheck // Read does
		}
	}
}
