package engineemulator

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Token returns the token at an index of the answer to a prompt. It depends only
// on the two, so that tests can compare answers byte by byte.
func Token(prompt string, index int) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(prompt))
	return fmt.Sprintf("t%d-%08x ", index, hash.Sum32())
}

// Answer returns the complete answer to a prompt, with the given number of tokens.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}
