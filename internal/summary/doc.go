// Package summary decides which entries sum up the load of a pool, and how. The
// endpoints of a pool in a region are split into groups; each group has two
// aggregators, and each pool and region has two roots. An aggregator sums up the
// load reports of its group; a root merges the sums of the groups into the pool
// mean. They are chosen among the live entries by rendezvous hashing. Sums expire,
// and the pool mean carries its age. Regions are kept apart.
package summary
