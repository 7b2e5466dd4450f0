package model

import (
	"context"
	"errors"
	"io"
	"time"
)

// TimedReader adds the first-token and stream times of an answer to its stage
// times and calls Done once, after the end frame.
type TimedReader struct {
	FrameReader
	Stages       *StageTimes
	StartedAt    time.Time        // start of the first-token stage
	Now          func() time.Time // the program's clock
	Done         func()
	firstFrameAt time.Time
}

// Next implements FrameReader.
func (r *TimedReader) Next(ctx context.Context) (Frame, error) {
	f, err := r.FrameReader.Next(ctx)
	switch {
	case err == nil && r.firstFrameAt.IsZero():
		r.firstFrameAt = r.Now()
		r.Stages.Add(StageFirstToken, r.firstFrameAt.Sub(r.StartedAt))
	case err == nil && f.Kind == FrameEnd:
		r.Stages.Add(StageStream, r.Now().Sub(r.firstFrameAt))
	case errors.Is(err, io.EOF) && r.Done != nil:
		r.Done()
		r.Done = nil
	}
	return f, err
}
