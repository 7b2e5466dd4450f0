// Command goldcrest-side runs beside an endpoint instance. All work for the
// endpoint passes through it.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
)

func main() {
	os.Exit(program.Main("goldcrest-side", "side: ", os.Args[1:], side.LoadSettings, side.Run))
}
