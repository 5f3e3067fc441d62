package rowstore

import "context"

// begunKey is the key of the function that WithBegun adds to a context.
type begunKey struct{}

// WithResponseStartHook returns a context whose calls call a function when their answer has
// begun to come. The function must not block.
//
// An answer that has begun and takes long is on its way over a narrow link, and
// asking again would make it slower. One that has not begun may be lost: a store
// that falls silent never answers what it was asked meanwhile.
func WithResponseStartHook(ctx context.Context, begun func()) context.Context {
	return context.WithValue(ctx, begunKey{}, begun)
}

// NotifyResponseStart tells whoever waits for it that the answer to a call has begun to come.
// Implementations of Store call it.
func NotifyResponseStart(ctx context.Context) {
	if begun, found := ctx.Value(begunKey{}).(func()); found {
		begun()
	}
}
