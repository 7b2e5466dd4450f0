// Command goldcrest-entry serves the requests of the fleet's callers behind the
// platform's load balancer.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

func main() {
	os.Exit(program.Main("goldcrest-entry", "entry: ", os.Args[1:], entry.LoadSettings, entry.Run))
}
