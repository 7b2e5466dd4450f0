// Package ctl holds the operators' commands. Each command is a pipeline of
// filters over a Job, such as "read | check | diff | append | wait". A command
// is one file that returns a Command; commands() lists them.
package ctl
