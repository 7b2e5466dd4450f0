// Command goldcrest-side is the sidecar proxy of an endpoint instance. All
// requests to the endpoint pass through it.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
)

func main() {
	os.Exit(program.Main("goldcrest-side", "side: ", os.Args[1:], side.LoadSettings, side.Run))
}
