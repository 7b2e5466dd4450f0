// Package timing shows where requests spend their time. It sums up stage times
// by endpoint, version and route, and finds hotspots: the parts of a pool that
// are slower in a stage than the rest of it. It has no side effects; times are
// passed in.
package timing
