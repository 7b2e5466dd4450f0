package router

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// errTorn means that a stream ended inside an event.
var errTorn = eris.New("router: stream ended inside an event")

// eventSplitter cuts a body into whole events. An endpoint may stop inside an
// event, of which callers then get nothing.
type eventSplitter struct{ r *bufio.Reader }

func newEventSplitter(r io.Reader) *eventSplitter {
	return &eventSplitter{bufio.NewReaderSize(r, 1024)}
}

// next returns the next event with its blank line.
func (s *eventSplitter) next() ([]byte, error) {
	var event []byte
	for {
		line, err := s.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil && len(event) > 0 && errors.Is(err, io.EOF):
			return nil, errTorn
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
		if len(event) > maxEvent {
			return nil, eris.Errorf("router: event is longer than %d bytes", maxEvent)
		}
	}
}

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
