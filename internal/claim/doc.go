// Package claim decides, from the order of records in the log, which process may
// run a non-idempotent request. It does no I/O and reads no clock, except in
// RunJob: the caller passes in records, times and the results of appends.
//
// It implements the barrier of "Three Pitfalls and Best Practice for Saga Pattern
// in Microservices" (yedf2) with a log stream instead of a database table:
//
//   - Insert-ignore on a unique key: the first valid record for a key wins and
//     all later ones are ignored (Fold.Apply).
//   - Null compensation: a void record is valid without a claim before it, so
//     that an entry can answer "not run" for a request that never arrived.
//   - Hanging action: a claim that is appended after the void of its key loses,
//     so that a delayed request does not run after the caller received "not run".
//
// An epoch record makes a process the owner of a partition for a pool. A claim is
// valid only if it names the latest epoch record before it. An owner that was
// paused during a takeover therefore loses its claim, without leases or clocks. A
// result record names its claim and is valid in any epoch, because only the process
// that made the claim knows the outcome. A result with the outcome not_run releases
// the key.
package claim
