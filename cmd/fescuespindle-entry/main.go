// Command fescuespindle-entry is an entry VM on the users' platform. It links in
// only what serving needs.
package main

import (
	"os"

	"github.com/fescuespindle/fescuespindle/internal/wiring/entryvm"
)

func main() { os.Exit(entryvm.Main(os.Args[1:], os.Stdout, os.Stderr)) }
