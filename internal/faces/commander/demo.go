package commander

import (
	"os"

	"golang.org/x/term"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/demonstrator"
)

type demoCommand struct {
	JSON bool `help:"Print JSON."`
}

// Run runs the demonstration and prints its report. It shows progress if standard error is a
// terminal.
func (c *demoCommand) Run(e *environment) error {
	var options []demonstrator.Option
	if file, ok := e.stderr.(*os.File); ok && term.IsTerminal(int(file.Fd())) {
		options = append(options, demonstrator.WithProgress(file))
	}
	report, err := demonstrator.New(options...).Run(e.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(report)
	}
	report.Write(e.stdout)
	return nil
}
