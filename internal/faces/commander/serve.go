package commander

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
	"github.com/fescuespindle/fescuespindle/internal/wiring/assembler"
)

type serveCommand struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"The VM's settings."`
}

// Run serves until SIGINT or SIGTERM, and then drains the VM. It fails if requests or batch
// work are still running at the drain timeout of the settings.
func (c *serveCommand) Run(e *environment) error {
	settings, err := settingsloader.Load(c.Settings)
	if err != nil {
		return err
	}
	secret, err := settings.Secret()
	if err != nil {
		return err
	}
	logger := newLogger(settings.LogFormat, e.stderr)
	listeners, err := assembler.Listen(settings)
	if err != nil {
		return err
	}
	process := assembler.NewProcessNumber()
	vm := assembler.New(settings, listeners, assembler.PeerSecret(secret), process, assembler.Dialers{}, logger, nil)
	vm.Start()
	<-e.ctx.Done()
	return vm.Shutdown(context.WithoutCancel(e.ctx))
}

// newLogger returns a logger that writes lines in the given format.
func newLogger(format settingsloader.LogFormat, w io.Writer) *slog.Logger {
	if format == settingsloader.LogJSON {
		return slog.New(slog.NewJSONHandler(w, nil))
	}
	return slog.New(slog.NewTextHandler(w, nil))
}

type settingsCommand struct {
	Check   settingsCheckCommand   `cmd:"" help:"Check a settings file."`
	Example settingsExampleCommand `cmd:"" help:"Print a complete settings file."`
}

type settingsCheckCommand struct {
	File string `arg:"" type:"path" help:"The settings file."`
}

// Run checks a settings file.
func (c *settingsCheckCommand) Run(e *environment) error {
	if _, err := settingsloader.Load(c.File); err != nil {
		return err
	}
	e.print("the settings are right\n")
	return nil
}

type settingsExampleCommand struct{}

// Run prints an example of a settings file.
func (c *settingsExampleCommand) Run(e *environment) error {
	_, err := fmt.Fprint(e.stdout, settingsloader.Example)
	return err
}
