package commander

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
)

// callerFlags are the flags of commands that send requests as a caller.
type callerFlags struct {
	URL   string `required:"" placeholder:"URL" env:"FESCUESPINDLE_URL" help:"The address of an entry VM or the balancer."`
	Token string `required:"" env:"FESCUESPINDLE_TOKEN" help:"The caller's bearer token."`
}

// requester returns a client with the URL and token of the flags.
func (f callerFlags) requester() *requester.Requester {
	transport := transporter.New(nil)
	transport.Proxy = http.ProxyFromEnvironment
	return requester.New(f.URL, f.Token, &http.Client{Transport: transport})
}

type batchCommand struct {
	Submit  batchSubmitCommand  `cmd:"" help:"Upload a file of items and submit it as a job."`
	Status  batchStatusCommand  `cmd:"" help:"Print the state of a job."`
	Cancel  batchCancelCommand  `cmd:"" help:"Stop a job."`
	Results batchResultsCommand `cmd:"" help:"Print the results that are committed."`
}

// printBatch prints a job's state as one line or as JSON.
func printBatch(e *environment, batch requester.Batch, asJSON bool) error {
	if asJSON {
		return e.printJSON(batch)
	}
	counts := batch.RequestCounts
	e.print("%s  %s  %d of %d completed, %d failed\n",
		batch.ID, batch.Status, counts.Completed, counts.Total, counts.Failed)
	return nil
}

type batchSubmitCommand struct {
	callerFlags
	File     string `arg:"" type:"path" help:"The items, one JSON object a line."`
	Key      string `help:"The idempotency key; give the same one to submit again."`
	Window   string `default:"24h" help:"The time in which the job is due."`
	Endpoint string `default:"/v1/chat/completions" help:"The URL of the items."`
	JSON     bool   `help:"Print JSON."`
}

// Run uploads the file and submits the job. Without a key, it generates one. An error of the
// submission includes the key, with which the submission can be retried.
func (c *batchSubmitCommand) Run(e *environment) error {
	file, err := os.Open(c.File)
	if err != nil {
		return fmt.Errorf("read items: %w", err)
	}
	defer func() { _ = file.Close() }()
	r := c.requester()
	uploaded, err := r.Upload(e.ctx, c.File, file)
	if err != nil {
		return err
	}
	if c.Key == "" {
		c.Key = uuid.NewString()
	}
	batch, err := r.Submit(e.ctx, uploaded.ID, c.Endpoint, c.Window, c.Key)
	if err != nil {
		return fmt.Errorf("submit under key %s: %w", c.Key, err)
	}
	return printBatch(e, batch, c.JSON)
}

type batchStatusCommand struct {
	callerFlags
	ID   string `arg:"" help:"The job."`
	Wait bool   `help:"Wait until the job has ended."`
	JSON bool   `help:"Print JSON."`
}

const statusPollInterval = time.Second

// Run prints the state of a job, on request after polling until the job has ended.
func (c *batchStatusCommand) Run(e *environment) error {
	r := c.requester()
	for {
		batch, err := r.Status(e.ctx, c.ID)
		if err != nil {
			return err
		}
		if !c.Wait || batch.Status != "in_progress" {
			return printBatch(e, batch, c.JSON)
		}
		if !sleeper.Sleep(e.ctx, statusPollInterval) {
			return e.ctx.Err()
		}
	}
}

type batchCancelCommand struct {
	callerFlags
	ID   string `arg:"" help:"The job."`
	JSON bool   `help:"Print JSON."`
}

// Run cancels a job and prints its state.
func (c *batchCancelCommand) Run(e *environment) error {
	batch, err := c.requester().Cancel(e.ctx, c.ID)
	if err != nil {
		return err
	}
	return printBatch(e, batch, c.JSON)
}

type batchResultsCommand struct {
	callerFlags
	ID string `arg:"" help:"The job."`
}

// Run prints the committed results of a job.
func (c *batchResultsCommand) Run(e *environment) error {
	return c.requester().Results(e.ctx, c.ID, e.stdout)
}
