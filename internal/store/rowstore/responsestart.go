package rowstore

import "context"

// responseStartKey is the context key of the callback that WithResponseStartHook adds.
type responseStartKey struct{}

// WithResponseStartHook returns a context that makes each store call invoke onStart
// when its response starts to arrive. The callback must not block.
//
// A response that has started but takes long is being transferred over a slow link, and
// retrying the call would slow it down further. A response that has not started may never
// arrive: a store that becomes unresponsive doesn't answer the calls of that time later.
func WithResponseStartHook(ctx context.Context, onStart func()) context.Context {
	return context.WithValue(ctx, responseStartKey{}, onStart)
}

// NotifyResponseStart invokes the callback that WithResponseStartHook added to the
// context, if any. Implementations of Store call it when a response starts to arrive.
func NotifyResponseStart(ctx context.Context) {
	if onStart, found := ctx.Value(responseStartKey{}).(func()); found {
		onStart()
	}
}
