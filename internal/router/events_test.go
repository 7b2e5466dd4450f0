package router

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/memory"
)

// splitWhole is a reference decoder: it splits the whole text of a stream into its events.
func splitWhole(text string) (events []string, err error) {
	event := ""
	for line := range strings.Lines(text) {
		blank := event != "" && strings.HasSuffix(line, "\n") && strings.TrimRight(line, "\r\n") == ""
		event += line
		if blank {
			events, event = append(events, event), ""
		}
	}
	switch {
	case event == "":
		return events, io.EOF
	case strings.Trim(event, "\r\n") == "": // blank lines after the last event
		return append(events, event), io.EOF
	}
	return events, errTruncatedEvent
}

// readEvents reads all events from r.
func readEvents(r io.Reader) (events []string, err error) {
	s := newEventSplitter(r, memory.NewBudget(1<<24).NewAccount())
	for {
		event, err := s.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

// pieces are readers that return a text in pieces of different sizes.
var pieces = map[string]func(io.Reader) io.Reader{
	"whole":      func(r io.Reader) io.Reader { return r },
	"halves":     iotest.HalfReader,
	"bytes":      iotest.OneByteReader,
	"with error": iotest.DataErrReader,
}

// checkSplit compares the splitter with the reference decoder.
func checkSplit(t *testing.T, text string) {
	t.Helper()
	want, wantErr := splitWhole(text)
	for name, read := range pieces {
		got, err := readEvents(read(strings.NewReader(text)))
		if !slices.Equal(got, want) || !errors.Is(err, wantErr) {
			t.Fatalf("%s: %d bytes are split into %d events and %v, not into %d and %v", name, len(text), len(got), err, len(want), wantErr)
		}
	}
}

// Guards against an event that counts as complete before the blank line that ends it, since
// one of its lines fills the buffer of the reader: pieces of two endpoints were joined after
// a crash there.
func TestEventsEndAtTheirBlankLine(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{512, 1024, 2048, 3072, 4096, 8192} {
		for length := size - 12; length <= size+12; length++ {
			for _, end := range []string{"\n", "\r\n"} {
				event := "id: 1" + end + "data: " + strings.Repeat("x", length-len("data: ")) + end + end
				text := event + "data: next" + end + end
				events, err := readEvents(strings.NewReader(text))
				is.Equal(err, io.EOF)
				is.Equal(len(events), 2)
				for cut := len(event) - 4; cut <= len(event)+1; cut++ {
					checkSplit(t, text[:cut])
				}
			}
		}
	}
}

// Guards against a complete stream that counts as broken off, since blank lines follow its last
// event.
func TestBlankLinesAfterTheLastEvent(t *testing.T) {
	is := is.New(t)
	for _, end := range []string{"\n", "\r\n"} {
		for n := range 6 {
			text := "data: a" + end + strings.Repeat(end, 1+n)
			events, err := readEvents(strings.NewReader(text))
			is.Equal(err, io.EOF)
			is.Equal(strings.Join(events, ""), text)
			is.Equal(events[0], "data: a"+end+end)
			checkSplit(t, text)
		}
	}
}

// Guards against ends of events that depend on how the text of a stream arrives.
func FuzzEvents(f *testing.F) {
	for _, length := range []uint16{0, 1, 5, 1017, 1018, 1023, 1024, 2042, 2048} {
		f.Add("id: 1\ndata: ", length, "\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\n")
		f.Add("data: ", length, "\n")
	}
	f.Add("data: a\r\n\r\n", uint16(0), "\r\n\n\r")
	f.Fuzz(func(t *testing.T, before string, length uint16, after string) {
		text := before + strings.Repeat("x", int(length)%5000) + after
		for cut := range len(text) + 1 {
			if cut < len(before) || cut > len(text)-len(after)-2 {
				checkSplit(t, text[:cut])
			}
		}
	})
}
