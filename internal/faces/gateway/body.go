package gateway

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
	// defaultBodyTime bounds the time for a body if the configuration doesn't.
	defaultBodyTime = 10 * time.Second
	defaultMaxBody  = 4 << 20
	// bodyStep is what a body without a length takes of the memory at a time.
	bodyStep = 64 << 10
)

// ErrNoMemory means that the VM holds as many bytes for callers as it may.
var ErrNoMemory = errors.New("no memory for the body")

// ReadBody reads a request's body within the limits of the configuration and the
// VM's memory. The ration must be ended once the body is no longer held; it may
// be nil.
func ReadBody(
	w http.ResponseWriter, r *http.Request, limits router.Limits, memory *rationer.Rationer,
) ([]byte, *rationer.Reservation, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = defaultMaxBody
	}
	wait := limits.HeaderTimeout
	if wait <= 0 {
		wait = defaultBodyTime
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return nil, nil, fmt.Errorf("limit the time of a body: %w", err)
	}
	ration := memory.NewReservation()
	body, err := readWithin(http.MaxBytesReader(w, r.Body, most), r.ContentLength, most, ration)
	if err != nil {
		return nil, ration, fmt.Errorf("read body: %w", err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, ration, fmt.Errorf("limit the time of a body: %w", err)
	}
	return body, ration, nil
}

// readWithin reads a body up to a length. One without a length takes memory as it
// comes. A body that can't be held is read all the same: a caller that is still
// sending would not see an answer.
func readWithin(body io.Reader, length, most int64, ration *rationer.Reservation) ([]byte, error) {
	switch {
	case length > most:
		_, err := io.Copy(io.Discard, body)
		return nil, err //nolint:wrapcheck // ReadBody does
	case length > 0 && !ration.Grow(length):
		_, err := io.Copy(io.Discard, body)
		return nil, cmp.Or(err, ErrNoMemory)
	case length > 0:
		text := make([]byte, length)
		_, err := io.ReadFull(body, text)
		return text, err //nolint:wrapcheck // ReadBody does
	}
	var text []byte
	for {
		if !ration.Grow(bodyStep) {
			_, err := io.Copy(io.Discard, body)
			return nil, cmp.Or(err, ErrNoMemory)
		}
		step, err := io.ReadAll(io.LimitReader(body, bodyStep))
		text = append(text, step...)
		if err != nil || len(step) < bodyStep {
			return text, err //nolint:wrapcheck // ReadBody does
		}
	}
}
