// Package finding collects errors in input files together with their location,
// so that all of them are reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one error and its location.
type Finding struct {
	File    string
	Line    int // 0 if unknown
	Section string
	Key     string
	Problem string // what is wrong
	Allowed string // what is allowed; may be empty
}

// String returns "file:line: [section] key: problem (allowed: ...)".
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(":")
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s:", f.Key)
	}
	b.WriteString(" " + f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.Allowed)
	}
	return b.String()
}

// List is a list of findings. A non-empty list is an error.
type List []Finding

// Add appends f.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Error implements error. It returns one finding per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns l as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
