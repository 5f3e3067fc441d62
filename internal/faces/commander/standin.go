package commander

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/standins/serviceemulator"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

type standinCommand struct {
	Platform standinPlatformCommand `cmd:"" help:"Run the platform's store: rows and objects, in memory."`
	Engine   standinEngineCommand   `cmd:"" help:"Run a model engine."`
	Service  standinServiceCommand  `cmd:"" help:"Run a plain service."`
}

const readHeaderTimeout = 5 * time.Second

// serveStandin prints the address that it listens on, and serves until SIGINT or SIGTERM.
func serveStandin(e *environment, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	e.print("listening on %s\n", listener.Addr())
	logger := slog.New(slog.NewTextHandler(e.stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(e.ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

type standinPlatformCommand struct {
	Address string `default:"127.0.0.1:8090" help:"Where to listen."`
}

// Run runs a store with the rate limits of a small site.
func (c *standinPlatformCommand) Run(e *environment) error {
	return serveStandin(e, c.Address,
		standin.NewStore(rowemulator.New(rowemulator.WithRateLimits(rowemulator.SmallSiteRateLimits))))
}

type standinEngineCommand struct {
	Address      string        `default:"127.0.0.1:0" help:"Where to listen."`
	Model        string        `required:"" help:"The model in memory at the start."`
	Version      string        `default:"1" help:"The model's version."`
	Sequences    int           `default:"8" help:"Sequences at a time."`
	Step         time.Duration `default:"5ms" help:"The time of one step of an empty engine."`
	ReportLag    time.Duration `default:"1s" help:"How late load reports are."`
	CheckFencing bool          `help:"Refuse orders with an old fencing number."`
	LoadTime     time.Duration `default:"1s" help:"The time that loading a model takes."`
}

// Run runs an engine that has the model loaded from the start.
func (c *standinEngineCommand) Run(e *environment) error {
	options := []engineemulator.Option{
		engineemulator.WithLoaded(upstream.LoadedModel{Name: c.Model, Version: c.Version}),
		engineemulator.WithSequences(c.Sequences), engineemulator.WithStep(c.Step),
		engineemulator.WithReportLag(c.ReportLag), engineemulator.WithLoadTime(c.LoadTime),
	}
	if c.CheckFencing {
		options = append(options, engineemulator.WithFencing())
	}
	engine := engineemulator.New(options...)
	var group sync.WaitGroup
	group.Go(func() { engine.Run(e.ctx) })
	defer group.Wait()
	return serveStandin(e, c.Address, engine)
}

type standinServiceCommand struct {
	Address string        `default:"127.0.0.1:0" help:"Where to listen."`
	Name    string        `default:"service" help:"The service's name."`
	Delay   time.Duration `default:"5ms" help:"The time of one call."`
}

// Run runs a service.
func (c *standinServiceCommand) Run(e *environment) error {
	return serveStandin(e, c.Address, serviceemulator.New(c.Name, serviceemulator.WithDelay(c.Delay)))
}
