// Package configsync keeps the accepted configuration of a process up to date.
// A source reads the log and asks peers; a control stage, the same in entry and
// side, hands what they say to the config.Follower in the control state.
package configsync
