package model

import "context"

// FrameKind is the type of a frame's content.
type FrameKind string

// The kinds of frame. A complete answer ends with exactly one FrameEnd.
const (
	FrameToken FrameKind = "token" // one piece of generated text
	FrameBody  FrameKind = "body"  // one piece of a service's answer
	FrameEnd   FrameKind = "end"   // the answer is complete
	FrameError FrameKind = "error" // the answer was truncated; Data holds the reason
)

// Frame is one piece of an answer. The frames of an answer, the end frame
// included, are numbered from 0 without gaps.
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
	// Close releases the source, and cancels it if the answer is not complete.
	Close() error
}

// Answer is the result of a request that was sent to an endpoint.
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
