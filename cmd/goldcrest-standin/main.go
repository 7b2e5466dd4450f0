// Command goldcrest-standin runs stand-ins for the platform and for the endpoints,
// for trials and tests on one machine.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

func main() {
	os.Exit(program.Main("goldcrest-standin", "standin: ", os.Args[1:], standin.LoadSettings, standin.Run))
}
