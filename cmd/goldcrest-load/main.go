// Command goldcrest-load sends callers' load to entries on loopback and reports
// what came back.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
