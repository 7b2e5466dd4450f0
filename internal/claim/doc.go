// Package claim decides from the order of the log which process may run a
// non-idempotent request. It is pure: the caller passes in records, times and
// the results of appends.
//
// It is the barrier of "Three Pitfalls and Best Practice for Saga Pattern in
// Microservices" (yedf2), with a log stream in place of a table:
//
//   - Insert-ignore on a unique key: the first valid record for a key wins and
//     every later one is ignored (Fold.Apply).
//   - Null compensation: a void record counts although no claim came before it,
//     so that an entry can say "not run" about a request that never arrived.
//   - Hanging action: a claim that arrives after the void loses, so that a
//     delayed request does not run after the caller was told that it did not.
//
// A claim counts only if it names the latest epoch record before it. An owner
// that was paused while another one took over therefore loses, without any
// lease or clock. A result record names its claim and counts whatever the
// epoch, because only the process behind the claim knows how the run ended. A
// result with outcome not_run gives the key back.
package claim
