// Package order decides which orders are sent to an engine and when. It compares
// the accepted configuration with the state read back from the engine and issues
// one order at a time. The fence of an order is the offset of the configuration
// from which it was derived; an engine that honours fences refuses an order with
// a lower fence than the highest one that it has accepted.
package order
