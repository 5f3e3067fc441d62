// Package streammover moves the KV cache state of a stopped stream from one engine to
// another.
package streammover

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// ErrNotMoved means that the move failed. The state may be on either engine, or on
// both.
var ErrNotMoved = errors.New("stream not moved")

// Engines sends requests to engines.
type Engines interface {
	Call(ctx context.Context, a relayer.Attempt, repeatable bool) (relayer.Answer, error)
}

// Move exports a stopped stream's state from the engine at address from, and imports
// it into the engine at address to. The identifiers of both requests begin with id.
// Errors wrap ErrNotMoved.
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
