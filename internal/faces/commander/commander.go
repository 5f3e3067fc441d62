// Package commander implements the command line of fescuespindle.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line was invalid.
	ExitUsage = 2
	// ExitConflict means that another change was applied first, or that a document
	// doesn't have the signed digest.
	ExitConflict = 3
)

const description = `Serves language models to callers, online and in batch, from one fleet of upstreams.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change or with a signed digest.`

// errConflict is wrapped by errors that lead to ExitConflict.
var errConflict = errors.New("conflict")

// commandLine declares all commands for kong.
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

// environment is the context and the output of a command.
type environment struct {
	ctx    context.Context //nolint:containedctx // canceled by SIGINT and SIGTERM
	stdout io.Writer
	stderr io.Writer
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var commands commandLine
	exit := -1
	parser, err := kong.New(&commands, kong.Name("fescuespindle"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exit = code }), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fescuespindle:", err)
		return ExitFailed
	}
	command, err := parser.Parse(args)
	if exit >= 0 {
		return exit // help was requested
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fescuespindle:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitCode(command.Run(&environment{ctx: ctx, stdout: stdout, stderr: stderr}), stderr)
}

// exitCode prints an error, if any, and returns the exit code for it.
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

// print writes formatted text to standard output.
func (e *environment) print(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format, args...)
}

// printJSON writes a value as indented JSON to standard output.
func (e *environment) printJSON(value any) error {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
