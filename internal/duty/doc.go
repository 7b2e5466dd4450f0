// Package duty decides who performs the duties of one router at a time and what the
// holder reports: the state machine of the lease, the ledger of usage counts, the clock
// from which their windows follow, and the reports that were started.
package duty
