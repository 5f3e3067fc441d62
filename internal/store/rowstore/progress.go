package rowstore

import "context"

// progressKey is the context key of the callback that WithProgressHook adds.
type progressKey struct{}

// WithProgressHook returns a context that makes each store call invoke onProgress when its
// response starts to arrive, and again with each piece of it. Hooks of an outer context are
// invoked too. The callback must be fast and must not block.
//
// A response that keeps arriving but takes long is being transferred over a slow link, and
// retrying the call would slow it down further. A response that has not started may never
// arrive: a store that becomes unresponsive doesn't answer the calls of that time later.
func WithProgressHook(ctx context.Context, onProgress func()) context.Context {
	hook := onProgress
	if outer, found := ctx.Value(progressKey{}).(func()); found {
		hook = func() {
			outer()
			onProgress()
		}
	}
	return context.WithValue(ctx, progressKey{}, hook)
}

// NotifyProgress invokes the callbacks that WithProgressHook added to the context, if any.
// Implementations of Store call it when a response starts to arrive and with each piece of
// it.
func NotifyProgress(ctx context.Context) {
	if onProgress, found := ctx.Value(progressKey{}).(func()); found {
		onProgress()
	}
}
