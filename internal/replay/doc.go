// Package replay buffers the frames of answers for callers that resume or repeat
// a request. A Buffer has one writer, the goroutine that reads from the endpoint.
// Its frames are immutable, and any number of readers can follow it without locks.
// An Index belongs to the control goroutine and bounds the buffered answers.
package replay
