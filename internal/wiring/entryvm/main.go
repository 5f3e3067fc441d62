package entryvm

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/linewriter"
	"github.com/fescuespindle/fescuespindle/platform"
)

// memoryShare is the part of the VM's memory that the process aims to stay
// under; the rest is for what the kernel holds for it.
const memoryShare = 0.6

// commandLine is every command.
type commandLine struct {
	Serve serveCommand `cmd:"" help:"Run an entry VM with the settings that the environment names."`
	Check checkCommand `cmd:"" help:"Check a settings file and list what is wrong."`
}

type serveCommand struct{}

// Run serves until SIGTERM.
func (serveCommand) Run(stdout io.Writer) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	lines := linewriter.New(stdout)
	defer lines.Close()
	logger := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{ReplaceAttr: spellDuration}))
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	// Settings are read at the start only; SIGHUP must not end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	vm, err := New(settings, logger)
	if err != nil {
		return err
	}
	if err := vm.Start(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		select {
		case <-reload:
			vm.reload()
		case <-ctx.Done():
		}
	}
	vm.Shutdown()
	return nil
}

// spellDuration writes durations with their unit.
func spellDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().String())
	}
	return a
}

// reload reads the settings again and logs what they say now. None of the
// fields in use can change without a start.
func (vm *VM) reload() {
	settings, err := platform.LoadSettings()
	if err != nil {
		vm.logger.Error("settings not reloaded, those in use stay", "error", err)
		return
	}
	vm.logger.Info("settings reloaded", "callers", settings.CallerAddress, "store", settings.StoreAddress)
}

type checkCommand struct {
	File string `arg:"" type:"path" help:"The settings file."`
}

// Run checks a settings file.
func (c checkCommand) Run(stdout io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if _, err := platform.ParseSettings(text); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(stdout, "the settings are right")
	return nil
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var line commandLine
	exit := -1
	parser, err := kong.New(&line, kong.Name("fescuespindle-entry"),
		kong.Description("An entry VM of fescuespindle on the users' platform."),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exit = code }),
		kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fescuespindle-entry:", err)
		return 1
	}
	command, err := parser.Parse(args)
	if exit >= 0 {
		return exit // help was asked for
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fescuespindle-entry:", err)
		return 2
	}
	if err := command.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, "fescuespindle-entry:", err)
		return 1
	}
	return 0
}
