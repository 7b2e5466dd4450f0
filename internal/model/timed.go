package model

import (
	"context"
	"errors"
	"io"
	"time"
)

// TimedReader adds the first-token and stream times of an answer to its stage
// times and calls Done once, at the end frame.
type TimedReader struct {
	FrameReader
	Stages     *StageTimes
	HandedOver time.Time        // when the request was handed over
	Now        func() time.Time // clock of the program
	Done       func()
	started    time.Time
}

// Next implements FrameReader.
func (r *TimedReader) Next(ctx context.Context) (Frame, error) {
	f, err := r.FrameReader.Next(ctx)
	switch {
	case err == nil && r.started.IsZero():
		r.started = r.Now()
		r.Stages.Add(StageFirstToken, r.started.Sub(r.HandedOver))
	case err == nil && f.Kind == FrameEnd:
		r.Stages.Add(StageStream, r.Now().Sub(r.started))
	case errors.Is(err, io.EOF) && r.Done != nil:
		r.Done()
		r.Done = nil
	}
	return f, err
}
