package program

import (
	"errors"
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

// failingWriter is a log output whose first write fails.
type failingWriter struct {
	strings.Builder
	failed bool
}

func (w *failingWriter) Write(b []byte) (int, error) {
	if !w.failed {
		w.failed = true
		return 0, errors.New("reader is gone")
	}
	return w.Builder.Write(b)
}

// Guards against a number of dropped lines that is lost together with the write
// that reports it.
func TestCountOfLeftOutLinesSurvivesAFailedWrite(t *testing.T) {
	is := is.New(t)
	out := &failingWriter{}
	w := &LineWriter{out: out, lines: make(chan []byte, 2)}
	w.dropped.Store(3)
	w.writeBatch([]byte("a\n"))
	is.Equal(w.dropped.Load(), int64(3))
	w.writeBatch([]byte("b\n"))
	is.Equal(out.String(), "{\"msg\":\"log lines were left out\",\"count\":3}\nb\n")
	is.Equal(w.dropped.Load(), int64(0))
}
