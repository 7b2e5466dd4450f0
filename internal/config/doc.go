// Package config applies the records of the configuration stream to obtain the
// accepted configuration. A record is accepted only if it is based on the
// configuration accepted before it in the order of the log's offsets, so every
// reader accepts and rejects the same records.
package config
