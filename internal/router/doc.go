// Package router implements goldcrest-router, which forwards requests of callers
// directly to endpoints that have no sidecar. Requests pass through the filters
// listed in pipeline.go. One control goroutine owns placement, membership, retry
// budgets and the configuration. The package reaches callers, endpoints and the
// store through the interfaces in deps.go, so it does not depend on the names and
// formats of a platform.
package router
