// Package soak runs routers as separate processes against the stand-ins of the
// platform, injects faults from outside them, and checks what callers and
// endpoints see. All of it is test code; see soak_test.go.
package soak
