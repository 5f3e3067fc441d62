package demonstrator

import (
	"encoding/json"
	"fmt"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// parseResult returns the item's custom ID and the answer's text of one line of
// results.
func parseResult(line string) (id, text string, err error) {
	var result jobkeeper.Result
	if err := json.Unmarshal([]byte(line), &result); err != nil {
		return "", "", fmt.Errorf("decode result: %w", err)
	}
	if result.Response == nil {
		return "", "", fmt.Errorf("%w: %s failed", ErrWrong, result.CustomID)
	}
	var answer upstream.Completed
	if err := json.Unmarshal(result.Response.Body, &answer); err != nil || len(answer.Choices) == 0 {
		return "", "", fmt.Errorf("%w: %s has no answer", ErrWrong, result.CustomID)
	}
	return result.CustomID, answer.Choices[0].Message.Content, nil
}

// singleCall returns the path of the site's call that isn't repeatable, or "".
func singleCall(spec sitebuilder.Spec) string {
	for _, d := range spec.Document.Deployments {
		for _, call := range d.Calls {
			if !call.Repeatable {
				return call.Path
			}
		}
	}
	return ""
}
