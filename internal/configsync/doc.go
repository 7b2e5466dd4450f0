// Package configsync keeps the accepted configuration of a process up to date.
// A source reads the log and pulls from peers; a control stage, which entries and
// sides share, applies the results to the config.Follower in the control state.
package configsync
