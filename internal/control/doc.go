// Package control runs the one goroutine of a program that owns its mutable
// control state. Sources post typed events into a bounded queue; the stages of
// the control pipeline apply each event in order; the result is published as
// an immutable snapshot that traffic goroutines read without a lock.
package control
