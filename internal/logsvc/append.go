package logsvc

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// AppendState tells what is known about an append.
type AppendState int

// The states of an append.
const (
	AppendUnknown  AppendState = iota // the service could not be read
	AppendDone                        // the record is at Offset
	AppendNotFound                    // the record was not found before Offset; it may still arrive later
)

// AppendResult is the outcome of AppendOnce.
type AppendResult struct {
	State  AppendState
	Offset int64
	Err    error // why the append or the read failed; nil with AppendDone
}

// Bounds on the time that one append may take. The service usually answers in
// milliseconds; a caller waits for both at the worst.
const (
	AppendTimeout   = time.Second
	ReadBackTimeout = 2 * time.Second
)

// AppendOnce appends a record with a unique id once. After a lost answer it
// looks for the id in the records from offset from on, which must not be after
// the end of the stream at the time of the call.
func AppendOnce(ctx context.Context, log Log, stream, id string, data []byte, from int64) AppendResult {
	limit, cancel := context.WithTimeout(ctx, AppendTimeout)
	offset, err := log.Append(limit, stream, data)
	cancel()
	if err == nil {
		return AppendResult{State: AppendDone, Offset: offset}
	}
	limit, cancel = context.WithTimeout(ctx, ReadBackTimeout)
	defer cancel()
	res := AppendResult{State: AppendNotFound, Offset: from, Err: err}
	readErr := ReadAll(limit, log, stream, from, func(b Batch) bool {
		res.Offset = b.Next
		for _, r := range b.Records {
			if RecordID(r.Data) == id {
				res = AppendResult{State: AppendDone, Offset: r.Offset}
				return false
			}
		}
		return true
	})
	if readErr != nil && res.State != AppendDone {
		return AppendResult{State: AppendUnknown, Err: readErr}
	}
	return res
}

// ReadAll hands the records from offset from to the present end of the stream
// to each, batch by batch, until each returns false.
func ReadAll(ctx context.Context, log Log, stream string, from int64, each func(Batch) bool) error {
	for {
		b, err := log.Read(ctx, stream, from, 0)
		if err != nil {
			return eris.Wrapf(err, "logsvc: %s is not read to its end", stream)
		}
		if !each(b) || len(b.Records) == 0 {
			return nil
		}
		if b.Next <= from {
			return eris.Errorf("logsvc: read of %s from %d does not advance", stream, from)
		}
		from = b.Next
	}
}

// RecordID returns the id of a JSON record, or "" if it has none.
func RecordID(data []byte) string {
	var head struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &head) != nil {
		return ""
	}
	return head.ID
}
