// Package bodyloader reads the bodies of other VMs' requests within a time, a length and a budget of memory.
package bodyloader

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// timeout bounds the time to read a body.
const timeout = 10 * time.Second

// ErrTooLong means that a body announces more bytes than allowed.
var ErrTooLong = errors.New("body too long")

// Load reads the body of a request, of at most maxBytes, for which it reserves memory. It returns
// rationer.ErrExhausted if there is too little.
func Load(
	w http.ResponseWriter, r *http.Request, maxBytes int64, reservation *rationer.Reservation,
) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, ErrTooLong
	}
	control := http.NewResponseController(w)
	if err := setReadDeadline(control, time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	body, err := reservation.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, setReadDeadline(control, time.Time{})
}

// setReadDeadline sets a read deadline, if the connection has any.
func setReadDeadline(control *http.ResponseController, deadline time.Time) error {
	if err := control.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("set the read deadline of a body: %w", err)
	}
	return nil
}
