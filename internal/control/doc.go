// Package control runs the single goroutine that owns the mutable control state of
// a program. Sources post typed events to a bounded queue. The stages of the
// control pipeline apply each event in order, and the result is published as an
// immutable snapshot, which traffic goroutines read without a lock.
package control
