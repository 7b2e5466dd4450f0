// Package retry limits how often requests are retried. Every pool has a retry
// budget that grows with its requests, so that retries cannot multiply the load
// of a failing pool.
package retry
