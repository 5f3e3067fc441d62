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

// memoryLimitShare is the share of the VM's memory that is the soft memory limit of the Go
// runtime; the rest is for memory that the kernel holds for the process.
const memoryLimitShare = 0.6

// commandLine defines the commands of the program.
type commandLine struct {
	Serve serveCommand `cmd:"" help:"Run an entry VM with the settings that the environment names."`
	Check checkCommand `cmd:"" help:"Check a settings file and list what is wrong."`
}

type serveCommand struct{}

// Run runs a VM until SIGTERM or SIGINT, and then drains it.
func (serveCommand) Run(stdout io.Writer) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	lines := linewriter.New(stdout)
	defer lines.Close()
	logger := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{ReplaceAttr: formatDuration}))
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	}
	// SIGHUP must not end the process, although settings take effect at startup only.
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
		case reason := <-vm.Failed():
			logger.Error("process ends at once, without draining", "error", reason)
			return reason
		case <-ctx.Done():
		}
	}
	vm.Shutdown()
	return nil
}

// formatDuration replaces durations by their text with a unit, such as 1.5s.
func formatDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().String())
	}
	return a
}

// reload reads and logs the settings again. No setting in use changes before the next
// startup.
func (vm *VM) reload() {
	settings, err := platform.LoadSettings()
	if err != nil {
		vm.logger.Error("reloading the settings failed, those in use stay in effect", "error", err)
		return
	}
	vm.logger.Info("settings reloaded", "callers", settings.CallerAddress, "store", settings.StoreAddress)
}

type checkCommand struct {
	File string `arg:"" type:"path" help:"The settings file."`
}

// Run checks a settings file and returns an error that lists all invalid fields.
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

// Main runs the program and returns its exit code: 2 for an invalid command line, 1 for any
// other error.
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
		return exit // kong has printed the help text
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
