package router

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errTruncatedEvent is returned if a stream ends in the middle of an event.
var errTruncatedEvent = eris.New("router: stream ended inside an event")

// eventSplitter splits the body of an event stream into complete events. An
// endpoint may fail in the middle of an event; callers get no part of that event.
type eventSplitter struct{ r *bufio.Reader }

func newEventSplitter(r io.Reader) *eventSplitter {
	return &eventSplitter{bufio.NewReaderSize(r, 1024)}
}

// next returns the next event, including the blank line that ends it.
func (s *eventSplitter) next() ([]byte, error) {
	var event []byte
	for {
		line, err := s.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil && len(event) > 0 && errors.Is(err, io.EOF):
			return nil, errTruncatedEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
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
