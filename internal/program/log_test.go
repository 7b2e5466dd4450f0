package program

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is a log output whose reader never reads.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against requests that block on logging when the log output is not
// read.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := NewLineWriter(blockedWriter{}, 1_000_000)
	done := make(chan struct{})
	go func() {
		for range 5 * logQueueLines {
			_, _ = w.Write([]byte("line\n"))
		}
		w.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocks while the log output is not read")
	}
	is.True(w.dropped.Load() > 0)
}

// Guards against log lines that are dropped without a report of their number.
func TestLeftOutLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	w := NewLineWriter(&b, 1)
	for range logBurstLines + 50 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	is.True(strings.Contains(b.String(), "log lines were left out"))
	is.True(strings.Count(b.String(), "line\n") >= logBurstLines-logQueueLines)
}
