// Package order decides which orders an engine gets and when: from the accepted
// configuration and the state read back from the engine, one order at a time,
// each with the offset of the configuration behind it as its fence.
package order
