// Package commander is the command line.
package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK = 0
	// ExitFailed means that it could not.
	ExitFailed = 1
	// ExitUsage means that the command line was wrong.
	ExitUsage = 2
	// ExitConflict means that somebody else was faster, or that a document is
	// not the one that was signed.
	ExitConflict = 3
)

const description = `Serves language models to callers, online and in batch, from one fleet of upstreams.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change or with a signed digest.`

// errConflict marks an error that ends the program with ExitConflict.
var errConflict = errors.New("conflict")

// commandLine is every command.
type commandLine struct {
	Serve      serveCommand      `cmd:"" help:"Run an entry VM."`
	Settings   settingsCommand   `cmd:"" help:"Check the settings of an entry VM, or print an example."`
	Config     configCommand     `cmd:"" help:"Print, check, compare and apply the fleet's configuration."`
	Batch      batchCommand      `cmd:"" help:"Submit and follow batch jobs."`
	Load       loadCommand       `cmd:"" help:"Generate open-loop load and measure tails."`
	Standin    standinCommand    `cmd:"" help:"Run a stand-in for a platform, an engine or a service."`
	Experiment experimentCommand `cmd:"" help:"Measure the policies against baselines."`
	Demo       demoCommand       `cmd:"" help:"Bring up a whole site in one process and show it at work."`
}

// environment is what a command may use of the world.
type environment struct {
	ctx    context.Context //nolint:containedctx // ends with the program's signals
	stdout io.Writer
	stderr io.Writer
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	exit := -1
	parser, err := kong.New(&line, kong.Name("fescuespindle"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exit = code }), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fescuespindle:", err)
		return ExitFailed
	}
	command, err := parser.Parse(args)
	if exit >= 0 {
		return exit // help was asked for
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fescuespindle:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitCode(command.Run(&environment{ctx: ctx, stdout: stdout, stderr: stderr}), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "fescuespindle:", err)
	if errors.Is(err, errConflict) {
		return ExitConflict
	}
	return ExitFailed
}

// print writes text to standard output.
func (e *environment) print(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format, args...)
}

// printJSON writes a value to standard output.
func (e *environment) printJSON(value any) error {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
