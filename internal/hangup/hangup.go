// Package hangup catches SIGHUP from the initialisation of the program on, so that a reload
// that is asked for while the process starts does not end it. Whoever handles the signal later
// must look for a change at once. The package imports little, so that it is initialised early.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

func init() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
