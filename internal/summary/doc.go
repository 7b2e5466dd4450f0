// Package summary decides who sums up the load of a pool and how: endpoints are
// split into groups, each group has two holders, each pool and region two
// roots, all found by rendezvous over the live entries. Sums expire; the pool
// mean carries its age. Regions are kept apart.
package summary
