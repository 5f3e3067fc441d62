package sitebuilder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/fescuespindle/fescuespindle/internal/control/configkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
	"github.com/fescuespindle/fescuespindle/platform"
)

// WithConfigKeeper calls a function with a keeper of a platform's configuration,
// which is valid until the function returns. Operators' commands use it too.
func WithConfigKeeper(
	ctx context.Context, platformURL string, use func(context.Context, *configkeeper.Keeper) error,
) error {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	store := storekeeper.New(platform.NewStore(platformURL, transport), "operator-"+uuid.NewString(), logger,
		counter.New(metrics.NewSet()))
	running, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = store.Run(running) }) // returns when the context is canceled
	defer group.Wait()
	defer cancel()
	return use(ctx, configkeeper.New(store))
}

// ApplyDocument applies a document as the version after the current one and
// returns its entry.
func ApplyDocument(ctx context.Context, platformURL string, doc deployer.Document) (configkeeper.Entry, error) {
	var entry configkeeper.Entry
	digest, err := doc.Digest()
	if err != nil {
		return entry, fmt.Errorf("apply: %w", err)
	}
	err = WithConfigKeeper(ctx, platformURL, func(ctx context.Context, k *configkeeper.Keeper) error {
		head, err := k.Head(ctx)
		if err != nil {
			return fmt.Errorf("apply: %w", err)
		}
		entry, err = k.Apply(ctx, configkeeper.Change{
			From: head.Version, Digest: digest, Document: doc, By: "sitebuilder", Why: "bring the site up", At: time.Now(),
		})
		return err
	})
	return entry, err
}
