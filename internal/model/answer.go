package model

import "context"

// FrameKind tells what a frame carries.
type FrameKind string

// The kinds of frame. Every complete answer ends with exactly one FrameEnd.
const (
	FrameToken FrameKind = "token" // one piece of generated text
	FrameBody  FrameKind = "body"  // one piece of a service's answer
	FrameEnd   FrameKind = "end"   // the answer is whole
	FrameError FrameKind = "error" // the answer was cut; Data says why
)

// Frame is one piece of an answer. Index counts from 0 without gaps, the end
// frame included.
type Frame struct {
	Request RequestID
	Index   int
	Kind    FrameKind
	Data    []byte
}

// FrameReader yields the frames of one answer.
type FrameReader interface {
	// Next returns the next frame, or io.EOF after the end frame.
	Next(ctx context.Context) (Frame, error)
	// Close releases the source and cancels it if it is not at its end.
	Close() error
}

// Answer is the result of a request that was handed over to an endpoint.
type Answer struct {
	Request     RequestID
	Status      int // HTTP status of the endpoint's answer
	ContentType string
	Endpoint    EndpointID
	Version     Version
	ReturnToken string
	LoadRatio   float64 // load of the endpoint over the pool mean; 0 if unknown
	CachedUnits int64   // prefill tokens found in the endpoint's prefix cache
	Frames      FrameReader
	Stages      *StageTimes
}
