package experimenter

import (
	"bytes"
	"encoding/json"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

// resultCounter is a writer that counts the items in a job's results.
type resultCounter struct {
	seen       map[string]bool // by custom ID
	duplicates int             // results of an item after its first
	partial    []byte          // start of an incomplete line
}

// Write implements io.Writer. It returns an error if a line is not a valid result.
func (c *resultCounter) Write(text []byte) (int, error) {
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	c.partial = append(c.partial, text...)
	for {
		line, rest, found := bytes.Cut(c.partial, []byte("\n"))
		if !found {
			return len(text), nil
		}
		c.partial = rest
		var result jobkeeper.Result
		if err := json.Unmarshal(line, &result); err != nil {
			return 0, err
		}
		if c.seen[result.CustomID] {
			c.duplicates++
		}
		c.seen[result.CustomID] = true
	}
}
