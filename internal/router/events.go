package router

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/memory"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errTruncatedEvent is returned if a stream ends in the middle of an event.
var errTruncatedEvent = eris.New("router: stream ended inside an event")

// eventSplitter splits the body of an event stream into complete events. An
// endpoint may fail in the middle of an event; callers get no part of that event.
type eventSplitter struct {
	r      *bufio.Reader
	memory *memory.Account
	held   int64 // by memory, for the last event
}

func newEventSplitter(r io.Reader, a *memory.Account) *eventSplitter {
	return &eventSplitter{r: bufio.NewReaderSize(r, 1024), memory: a}
}

// next returns the next event, including the blank line that ends it and any blank lines
// before it. Blank lines after the last event are returned as an event of their own. The
// event is valid until the next call.
func (s *eventSplitter) next() ([]byte, error) {
	s.memory.Drop(s.held)
	s.held = 0
	var event []byte
	lineStart := 0 // of the current line in event; ReadSlice returns a long line in pieces
	for {
		piece, err := s.r.ReadSlice('\n')
		before := cap(event)
		event = append(event, piece...)
		if grown := int64(cap(event) - before); grown > 0 {
			if err := s.memory.Hold(grown); err != nil {
				return nil, err
			}
			s.held += grown
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(bytes.Trim(event, "\r\n")) > 0:
			return nil, errTruncatedEvent
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, nil // blank lines after the last event
		case err != nil:
			return nil, err
		case lineStart > 0 && len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0:
			return event, nil
		default:
			lineStart = len(event)
		}
		if len(event) > maxEventBytes {
			return nil, eris.Errorf("router: event is longer than %d bytes", maxEventBytes)
		}
	}
}

// isComment reports whether an event consists of comments only, which some servers
// send to keep a connection open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of the id field of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
