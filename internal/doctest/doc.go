// Package doctest holds tests that compare the operators' documents with the
// code, both ways.
package doctest
