package logsvc

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// AppendState is what is known about an append.
type AppendState int

// The states of an append.
const (
	AppendUnknown  AppendState = iota // the append failed, and the stream could not be read back
	AppendDone                        // the record is at Offset
	AppendNotFound                    // the record was not found before Offset; it may still be added later
)

// AppendResult is the outcome of AppendOnce.
type AppendResult struct {
	State  AppendState
	Offset int64
	Err    error // why the append or the read failed; nil with AppendDone
}

// Timeouts of an append and of the read-back after a failed one. The service
// usually answers in milliseconds; a caller waits for both timeouts at most.
const (
	AppendTimeout   = time.Second
	ReadBackTimeout = 2 * time.Second
)

// AppendOnce appends a record with a unique id once. If the append fails, it
// reads the stream from the offset from on and searches for the id, since the
// record may have been added although the answer was lost. from must not be
// after the end of the stream at the time of the call.
func AppendOnce(ctx context.Context, log Log, stream, id string, data []byte, from int64) AppendResult {
	timeoutCtx, cancel := context.WithTimeout(ctx, AppendTimeout)
	offset, err := log.Append(timeoutCtx, stream, data)
	cancel()
	if err == nil {
		return AppendResult{State: AppendDone, Offset: offset}
	}
	timeoutCtx, cancel = context.WithTimeout(ctx, ReadBackTimeout)
	defer cancel()
	res := AppendResult{State: AppendNotFound, Offset: from, Err: err}
	readErr := ReadAll(timeoutCtx, log, stream, from, func(b Batch) bool {
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

// ReadAll calls each with the batches of records from offset from to the current
// end of the stream, until each returns false.
func ReadAll(ctx context.Context, log Log, stream string, from int64, each func(Batch) bool) error {
	for {
		b, err := log.Read(ctx, stream, from, 0)
		if err != nil {
			return eris.Wrapf(err, "logsvc: %s cannot be read to its end", stream)
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
