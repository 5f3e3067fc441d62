// Command fescuespindle-entry runs an entry VM on the users' platform. It links only the
// packages that serving needs.
package main

import (
	"os"

	"github.com/fescuespindle/fescuespindle/internal/wiring/entryvm"
)

func main() { os.Exit(entryvm.Main(os.Args[1:], os.Stdout, os.Stderr)) }
