package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/online/versionkeeper"
)

// StreamVersions knows which software version of a service began a stream.
type StreamVersions interface {
	// Versions returns the versions at which streams of a service may begin, or nil.
	Versions(service string) []string
	// Begin must be called before the first event of a stream that can be resumed is
	// delivered, and what it returns at the end of the stream.
	Begin(ctx context.Context, s versionkeeper.Stream) (end func())
	// VersionOf returns the version that began the stream of a request. It returns
	// versionkeeper.ErrUnknown if that can't be told.
	VersionOf(ctx context.Context, service, id string) (string, error)
}

// canResume returns whether the answer is a stream that can be resumed.
func (f *forwarding) canResume() bool {
	route := f.x.request.route
	return route.Kind == router.KindStream && route.CanResume
}

// findVersion finds out at which version a stream that the caller resumes has begun. It
// returns versionkeeper.ErrUnknown if that can't be told.
func (f *forwarding) findVersion(ctx context.Context) error {
	request := &f.x.request
	if !f.canResume() || request.LastEvent == "" {
		return nil
	}
	version, err := f.gateway.versions.VersionOf(ctx, request.service, request.Resumes)
	if err != nil {
		f.gateway.logger.Info("stream can't be resumed", "id", request.Call.ID, "resumes", request.Resumes, "error", err)
		return err //nolint:wrapcheck // compared by the caller
	}
	f.setVersion(version)
	return nil
}

// setVersion makes the stream go on at a version only.
func (f *forwarding) setVersion(version string) { f.allowedVersions = []string{version} }

// beginStream makes a new stream go on at the version of the upstream that has begun it. It
// must be called before the first event is delivered.
func (f *forwarding) beginStream(ctx context.Context, upstream placer.Upstream) {
	if f.streamBegun || !f.canResume() {
		return
	}
	f.streamBegun = true
	f.setVersion(upstream.Version)
	if f.x.request.LastEvent != "" {
		return // it keeps the record of the request that began it
	}
	f.endStream = f.gateway.versions.Begin(ctx, versionkeeper.Stream{
		ID: f.x.request.Call.ID, Service: f.x.request.service, Version: upstream.Version,
	})
}

// acquireVersioned acquires a slot at an upstream at whose version the request may begin or go
// on.
func (f *forwarding) acquireVersioned(work placer.OnlineWork, now time.Time) (*placer.Slot, error) {
	work.Versions = f.versions()
	slot, err := f.gateway.placer.AcquireOnline(work, now)
	if errors.Is(err, placer.ErrNoUpstream) && len(f.allowedVersions) == 0 && len(work.Versions) > 0 {
		work.Versions = nil // none is left of those that are known
		slot, err = f.gateway.placer.AcquireOnline(work, now)
	}
	return slot, err //nolint:wrapcheck // compared by the caller
}

// versions returns the versions at which the request may begin or go on; none for any.
func (f *forwarding) versions() []string {
	if len(f.allowedVersions) == 0 && f.canResume() {
		return f.gateway.versions.Versions(f.x.request.service)
	}
	return f.allowedVersions
}

// returnPause is the pause before a stream returns to an upstream that has failed it, which may
// be restarting or full.
const returnPause = 100 * time.Millisecond

// mayReturn returns whether the request may return to an upstream that has failed it: a stream
// that has begun, for which no other one has its version.
func (f *forwarding) mayReturn() bool { return len(f.allowedVersions) > 0 && len(f.avoid) > 0 }
