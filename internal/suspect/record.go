package suspect

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Stream is the name of the log stream of crashes.
const Stream = "suspects"

type record struct {
	ID           string           `json:"id"`
	Endpoint     model.EndpointID `json:"endpoint"`
	Fingerprints []uint64         `json:"fingerprints"`
}

// Encode returns the log record of a crash. The record has no time, since the log
// service stores the append time.
func Encode(c Crash) ([]byte, error) {
	data, err := json.Marshal(record{c.ID, c.Endpoint, c.Fingerprints})
	return data, eris.Wrap(err, "suspect: record cannot be encoded")
}

// maxIDBytes is the maximum length of the identifiers in a record.
const maxIDBytes = 128

// Decode decodes and validates a log record that was appended at the given time.
func Decode(data []byte, appended time.Time) (Crash, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return Crash{}, eris.Wrap(err, "suspect: record is malformed")
	}
	if r.ID == "" || len(r.ID) > maxIDBytes || len(r.Endpoint) > maxIDBytes || len(r.Fingerprints) > MaxPerCrash {
		return Crash{}, eris.New("suspect: record is out of its bounds")
	}
	return Crash{ID: r.ID, Endpoint: r.Endpoint, At: appended, Fingerprints: r.Fingerprints}, nil
}
