// Package retry bounds how often requests are sent again. Every pool has a
// budget that grows with its requests, so that a failing pool cannot multiply
// its own load.
package retry
