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
	// logQueueLines is the number of lines that are queued for a slow reader.
	logQueueLines = 512
	// logBurstLines is the burst of the rate limit. It is large enough to log a
	// change that affects many objects in full.
	logBurstLines = 400
	// maxWriteBytes is PIPE_BUF: a write to a pipe up to this size is atomic, so
	// that it does not mix with writes of other processes.
	maxWriteBytes = 4096
	// flushTimeout bounds the wait for the reader when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// DefaultLogLines is the default limit on the log lines of a process per second.
const DefaultLogLines = 200

var logDropped = metrics.NewCounter("goldcrest_log_lines_left_out_total")

// LineWriter writes lines to a writer without ever blocking the caller. Lines
// that exceed the rate limit, or that find the queue full because the reader is
// slow, are dropped and counted; the next write reports the count.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLineWriter returns a LineWriter that writes at most perSecond lines a second
// to out.
func NewLineWriter(out io.Writer, perSecond int64) *LineWriter {
	w := &LineWriter{out: out, lines: make(chan []byte, logQueueLines), limiter: rate.NewLimiter(rate.Limit(perSecond), logBurstLines),
		stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

func (w *LineWriter) countDropped() {
	w.dropped.Add(1)
	logDropped.Inc()
}

func (w *LineWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-w.stop:
			w.writeBatch(nil)
			return
		}
	}
}

// writeBatch writes batch, a line or nothing, together with the lines that are
// queued. It splits them into writes of at most maxWriteBytes, unless one line
// alone is longer.
func (w *LineWriter) writeBatch(batch []byte) {
	reported := w.dropped.Load()
	if reported > 0 {
		batch = append(fmt.Appendf(nil, "{\"msg\":\"log lines were left out\",\"count\":%d}\n", reported), batch...)
	}
	for len(batch) < maxWriteBytes {
		select {
		case next := <-w.lines:
			if len(batch)+len(next) > maxWriteBytes && len(batch) > 0 {
				reported -= w.write(batch, reported)
				batch = batch[:0]
			}
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		w.write(batch, reported)
	}
}

// write writes batch, which reports that many dropped lines, and returns how many
// of them need no further report. The count stands until the report is written, so
// that a write that fails or blocks does not lose it.
func (w *LineWriter) write(batch []byte, reported int64) int64 {
	if _, err := w.out.Write(batch); err != nil {
		return 0 // there is no other place to report the error
	}
	w.dropped.Add(-reported)
	return reported
}

// Close writes the queued lines, waiting up to flushTimeout for the reader.
func (w *LineWriter) Close() {
	close(w.stop)
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
