// Package streammover moves the state of a stopped stream from one engine to
// another, by KV export and import.
package streammover

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// ErrNotMoved means that the state could not be moved. It may be on either
// engine, or on both.
var ErrNotMoved = errors.New("stream not moved")

// Engines sends requests to engines.
type Engines interface {
	Call(ctx context.Context, a relayer.Attempt, repeatable bool) (relayer.Answer, error)
}

// Move takes the state of a stopped stream from the engine at one address to the
// one at another. The identifier names the attempt.
func Move(ctx context.Context, engines Engines, id, stream, from, to string) error {
	kv, err := engines.Call(ctx, relayer.Attempt{
		ID: id + "-export", Address: from, Method: http.MethodGet, Path: upstream.PathKV + stream,
	}, false)
	if err != nil {
		return fmt.Errorf("%w: export: %w", ErrNotMoved, err)
	}
	_, err = engines.Call(ctx, relayer.Attempt{
		ID: id + "-import", Address: to, Method: http.MethodPut, Path: upstream.PathKV + stream, Body: kv.Body(),
	}, false)
	if err != nil {
		return fmt.Errorf("%w: import: %w", ErrNotMoved, err)
	}
	return nil
}
