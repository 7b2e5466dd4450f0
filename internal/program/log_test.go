package program

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is a reader that takes nothing.
type stuck struct{}

func (stuck) Write([]byte) (int, error) { select {} }

// Guards against requests that wait for a reader of the log that takes nothing.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := NewLineWriter(stuck{}, 1_000_000)
	done := make(chan struct{})
	go func() {
		for range 5 * logQueue {
			_, _ = w.Write([]byte("line\n"))
		}
		w.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a writer waits for the reader")
	}
	is.True(w.dropped.Load() > 0)
}

// Guards against lines that are left out without a word.
func TestLeftOutLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	w := NewLineWriter(&b, 1)
	for range logBurst + 50 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	is.True(strings.Contains(b.String(), "log lines were left out"))
	is.True(strings.Count(b.String(), "line\n") >= logBurst-logQueue)
}
