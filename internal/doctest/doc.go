// Package doctest tests that the operators' documents and the code match, in
// both directions.
package doctest
