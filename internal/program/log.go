package program

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// logQueue is the number of lines that may wait for a slow reader.
	logQueue = 512
	// logBurst lets a change that touches many things be logged whole.
	logBurst = 400
	// maxWrite is the size up to which a write to a pipe stays whole beside those
	// of other processes.
	maxWrite = 4096
	// flushTime bounds the wait for the reader at the end of the process.
	flushTime = 200 * time.Millisecond
)

// DefaultLogLines is the number of log lines a second that a process writes at
// most.
const DefaultLogLines = 200

var logDropped = metrics.NewCounter("goldcrest_log_lines_left_out_total")

// LineWriter passes lines on to a writer without ever making the caller wait.
// Lines beyond its rate, or that a slow reader leaves no room for, are counted
// and left out; the count is written once there is room again.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLineWriter returns a writer of at most perSecond lines a second to out.
func NewLineWriter(out io.Writer, perSecond int64) *LineWriter {
	w := &LineWriter{out: out, lines: make(chan []byte, logQueue), limit: rate.NewLimiter(rate.Limit(perSecond), logBurst),
		stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *LineWriter) drop() {
	w.dropped.Add(1)
	logDropped.Inc()
}

func (w *LineWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		case <-w.stop:
			w.flush(nil)
			return
		}
	}
}

// flush writes a line and all that wait behind it in one call.
func (w *LineWriter) flush(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line = append(fmt.Appendf(nil, "{\"msg\":\"log lines were left out\",\"count\":%d}\n", n), line...)
	}
	for len(line) < maxWrite {
		select {
		case next := <-w.lines:
			if len(line)+len(next) > maxWrite && len(line) > 0 {
				_, _ = w.out.Write(line)
				line = line[:0]
			}
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if len(line) > 0 {
		_, _ = w.out.Write(line) // nowhere is left to report a failure to
	}
}

// Close writes what waits, if the reader takes it in time.
func (w *LineWriter) Close() {
	close(w.stop)
	t := time.NewTimer(flushTime)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
