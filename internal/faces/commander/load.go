package commander

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
)

type loadCommand struct {
	URL    []string      `required:"" placeholder:"URL" help:"The addresses of entry VMs; requests go to them at random."`
	Token  string        `required:"" env:"FESCUESPINDLE_TOKEN" help:"The caller's bearer token."`
	Model  string        `required:"" help:"The model."`
	Rate   float64       `default:"10" help:"Requests a second."`
	For    time.Duration `default:"10s" help:"How long to send."`
	Tokens int           `default:"16" help:"Tokens a request."`
	Words  int           `default:"32" help:"Words a prompt."`
	Seed   uint64        `default:"1" help:"The seed of the arrivals and prompts."`
	JSON   bool          `help:"Print JSON."`
}

const (
	loadRequestTimeout  = time.Minute
	maxIdleConnsPerHost = 1024
)

// Run generates load, and prints the outcomes of requests and the latencies of first tokens.
func (c *loadCommand) Run(e *environment) error {
	transport := transporter.New(nil)
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	client := &http.Client{Transport: transport}
	defer client.CloseIdleConnections()
	var targets []loadgenerator.Target
	for _, url := range c.URL {
		targets = append(targets, requester.New(url, c.Token, client))
	}
	generator := loadgenerator.New(loadgenerator.Plan{
		Rate: c.Rate, End: time.Now().Add(c.For), Seed: c.Seed, Timeout: loadRequestTimeout, Targets: targets,
		Generate: func(_ int, random *rand.Rand) loadgenerator.Request {
			return loadgenerator.Request{Model: c.Model, Prompt: randomPrompt(c.Words, random), Tokens: c.Tokens, Class: "all"}
		},
	})
	generator.Run(e.ctx)
	report := generator.Class("all").Report("all")
	if c.JSON {
		return e.printJSON(report)
	}
	e.print("%d sent, %d right, %d refused, %d cut\n", report.Sent, report.Correct, report.Rejected, report.Truncated)
	e.print("first token: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms\n",
		report.FirstP50, report.FirstP95, report.FirstP99, report.FirstMax)
	for text, n := range generator.Errors() {
		e.print("%6d  %s\n", n, text)
	}
	return nil
}

// randomPrompt returns a prompt of n random words.
func randomPrompt(n int, random *rand.Rand) string {
	var prompt strings.Builder
	for range n {
		fmt.Fprintf(&prompt, "word%d ", random.IntN(1000))
	}
	return strings.TrimSpace(prompt.String())
}
