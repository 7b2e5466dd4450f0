// Package archtest tests that the code follows the architecture described in
// docs/design.md.
package archtest
