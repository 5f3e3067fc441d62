package experimenter

import (
	"bytes"
	"encoding/json"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

// resultCounter counts the lines of a job's results as they are written to it.
type resultCounter struct {
	seen    map[string]bool
	doubled int
	rest    []byte
}

// Write implements io.Writer.
func (c *resultCounter) Write(text []byte) (int, error) {
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	c.rest = append(c.rest, text...)
	for {
		line, rest, found := bytes.Cut(c.rest, []byte("\n"))
		if !found {
			return len(text), nil
		}
		c.rest = rest
		var result jobkeeper.Result
		if err := json.Unmarshal(line, &result); err != nil {
			return 0, err
		}
		if c.seen[result.CustomID] {
			c.doubled++
		}
		c.seen[result.CustomID] = true
	}
}
