// Command goldcrest-load generates the load of callers against entries on
// loopback addresses and reports the results.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
