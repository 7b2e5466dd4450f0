// Package ctl implements the subcommands of goldcrestctl. Each one is a pipeline
// of filters over a Job, such as "read | check | diff | append | wait". A file
// cmd_*.go defines one or more commands, and commands lists them all.
package ctl
