package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// Stream is the name of the configuration stream in the log service.
const Stream = "config"

// NoBase is the base offset of the first record of a fleet.
const NoBase int64 = -1

// Record is a record of the configuration stream.
type Record struct {
	ID       string         `json:"id"`                 // unique, to find the record after a lost append answer
	Base     int64          `json:"base"`               // offset of the accepted record that this one is based on
	Author   string         `json:"author,omitempty"`   // for the operators' log
	Changes  []lists.Change `json:"changes,omitempty"`  // changes against the base
	Snapshot *lists.Lists   `json:"snapshot,omitempty"` // complete accepted state, appended before the log trims the records that lead to it
	// Founding is set by an operator on a snapshot that is accepted whatever its
	// base. It is needed when the records that determine the accepted state were
	// trimmed before any process had read them.
	Founding bool `json:"founding,omitempty"`
}

// LogEntry is a record and its offset in the stream. For a malformed record Err
// is set instead of Record.
type LogEntry struct {
	Offset int64
	At     time.Time // append time by the log service's clock
	Record Record
	Err    error
}

// Sizes of a record.
const (
	// compressAboveBytes is the size above which a record is compressed.
	// Smaller records stay readable in the log.
	compressAboveBytes = 4 << 10
	// maxDecompressedBytes bounds the size of a decompressed record. A snapshot of
	// 100,000 workspaces takes about 14 MB.
	maxDecompressedBytes = 32 << 20
)

// Decode decodes the data of one record.
func Decode(data []byte) (Record, error) {
	plain, err := Decompress(data)
	if err != nil {
		return Record{}, err
	}
	var rec Record
	if err := json.Unmarshal(plain, &rec); err != nil {
		return Record{}, eris.Wrap(err, "config: record is malformed")
	}
	if rec.ID == "" {
		return Record{}, eris.New("config: record has no id")
	}
	return rec, nil
}

// Encode encodes rec for the stream. A large record is compressed: a snapshot
// of 16,000 workspaces would exceed the size limit of the log service.
func (rec Record) Encode() ([]byte, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, eris.Wrap(err, "config: record cannot be encoded")
	}
	if len(data) <= compressAboveBytes {
		return data, nil
	}
	return Compress(data)
}

// Compress compresses data.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "config: data cannot be compressed")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "config: data cannot be compressed")
	}
	return b.Bytes(), nil
}

// gzipMagic is the prefix of compressed data; JSON never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Decompress returns the decompressed form of data, or data itself if it is not
// compressed.
func Decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "config: data is not gzip")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "config: data cannot be decompressed")
	}
	if len(plain) > maxDecompressedBytes {
		return nil, eris.Errorf("config: data has more than %d bytes when decompressed", maxDecompressedBytes)
	}
	return plain, nil
}
