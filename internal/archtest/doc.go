// Package archtest holds tests that keep the code to the shape that
// docs/design.md sets down.
package archtest
