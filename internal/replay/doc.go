// Package replay keeps the frames of answers for callers that resume or repeat
// a request. A Buffer has one writer, the goroutine that reads the endpoint;
// its frames are immutable and any number of readers follow it without a lock.
// An Index belongs to the control goroutine and bounds what is kept.
package replay
