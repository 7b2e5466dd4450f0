// Package config folds the records of the configuration stream into the
// accepted configuration. The offset order of the log decides: a record counts
// only if it is based on the configuration accepted before it, so every reader
// accepts and rejects the same records.
package config
