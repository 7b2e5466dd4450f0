// Package soak runs routers as separate processes against stand-ins of the
// platform, injects faults from outside the processes, and checks what callers
// and endpoints observe. It contains only test code; see soak_test.go.
package soak
