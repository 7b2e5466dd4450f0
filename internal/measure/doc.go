// Package measure runs the scenarios behind "make measure". A scenario drives
// the real decision code or pipelines with small fakes and virtual time, and
// returns figures that are compared with the targets of docs/design.md.
package measure
