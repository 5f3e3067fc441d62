// Command fescuespindle serves language models to callers, online and in
// batch, from one fleet of upstreams.
package main

import (
	"os"

	"github.com/fescuespindle/fescuespindle/internal/faces/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
