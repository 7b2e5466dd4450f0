// Command goldcrest-entry serves callers of the fleet behind the platform's
// balancer.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

func main() {
	os.Exit(program.Main("goldcrest-entry", "entry: ", os.Args[1:], entry.LoadSettings, entry.Run))
}
