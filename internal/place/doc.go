// Package place selects the endpoint for each request of a pool. It tracks the
// listed endpoints, the requests that all routers together have in flight at
// each of them, the endpoints that hold each prompt part (a prefix of a prompt that
// requests share), the cold endpoints and those in backoff after failures. A Table
// belongs to the control goroutine.
package place
