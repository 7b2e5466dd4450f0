// Package logsvc is the client of the platform's append-only log service and
// defines its published HTTP format.
package logsvc
