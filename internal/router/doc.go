// Package router is the program that serves callers straight from endpoints
// which nothing of the fleet runs in front of. Traffic passes the pipeline of
// pipeline.go; one control goroutine owns placement, membership, budgets and the
// configuration. Callers, endpoints and the store are met through the interfaces
// of deps.go, so the package knows no name or format of a platform.
package router
