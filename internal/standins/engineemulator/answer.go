package engineemulator

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Token returns the token at an index of the answer to a prompt. Answers
// depend on nothing else, so that a test can compare every byte.
func Token(prompt string, index int) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(prompt))
	return fmt.Sprintf("t%d-%08x ", index, hash.Sum32())
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}
