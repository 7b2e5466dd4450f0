// Package timing says where the time of requests goes. It sums up stage times
// by endpoint, version and route, and finds the stage and the place that are
// slower than the rest of their pool. It is pure; times are passed in.
package timing
