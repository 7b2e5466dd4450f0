// Command goldcrestctl checks and applies the operators' lists and shows the
// state of the fleet.
package main

import (
	"os"

	"github.com/goldcrestturn/goldcrestturn/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
