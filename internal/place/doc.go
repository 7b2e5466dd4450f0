// Package place decides which endpoint runs the next request of a pool. It
// knows the listed endpoints, the requests in flight at each of them over all
// entries, which endpoints hold which prompt parts, which are cold and which
// failed lately. A table belongs to the control goroutine.
package place
