package replay

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// frameOverheadBytes is the memory of a buffered frame in addition to its data.
const frameOverheadBytes = 200

// node is an element of the linked list of frames. Its fields are written once,
// before ready is closed.
type node struct {
	ready chan struct{}
	frame model.Frame
	err   error // set at the end of the answer; io.EOF if it is complete
	next  *node
	index int   // index of the frame in the answer
	bytes int64 // size of the frame with overhead
}

// Buffer holds the answer of one request while the request runs and for some time
// afterwards.
type Buffer struct {
	started chan struct{} // closed when head or refusal is set
	head    model.Answer  // response head
	refusal error
	oldest  atomic.Pointer[node] // oldest buffered frame
	tail    *node                // next frame to append; used by the writer only
	bytes   int64                // size of the buffered frames; used by the writer only
	limit   int64
}

// NewBuffer returns an empty buffer for about limit bytes.
func NewBuffer(limit int64) *Buffer {
	return &Buffer{started: make(chan struct{}), limit: limit}
}

// Start sets the response head. The first frame of the buffer has index from.
func (b *Buffer) Start(head model.Answer, from int) {
	b.head = head
	b.head.Frames = nil
	b.tail = &node{ready: make(chan struct{}), index: from}
	b.oldest.Store(b.tail)
	close(b.started)
}

// Refuse ends the buffer with a refusal instead of an answer.
func (b *Buffer) Refuse(err error) {
	b.refusal = err
	close(b.started)
}

// Append adds a frame and drops the oldest frames above the limit.
func (b *Buffer) Append(f model.Frame) {
	n := b.tail
	n.frame, n.bytes = f, int64(len(f.Data))+frameOverheadBytes
	b.tail = &node{ready: make(chan struct{}), index: n.index + 1}
	n.next = b.tail
	b.bytes += n.bytes
	close(n.ready)
	for oldest := b.oldest.Load(); b.bytes > b.limit && oldest != n; oldest = oldest.next {
		b.bytes -= oldest.bytes
		b.oldest.Store(oldest.next)
	}
}

// End ends the answer. err is io.EOF if the answer is complete.
func (b *Buffer) End(err error) {
	b.tail.err = err
	close(b.tail.ready)
}

// Next returns the index of the next frame to append. Only the writer may call it.
func (b *Buffer) Next() int { return b.tail.index }

// Bytes returns the size of the buffered frames. Only the writer may call it.
func (b *Buffer) Bytes() int64 { return b.bytes }

// ErrDropped is returned to a reader whose next frame is not in the buffer.
var ErrDropped = eris.New("replay: the frame is no longer kept")

// Answer waits for the response head. It returns the answer to the request id,
// with the frames from index from on.
func (b *Buffer) Answer(ctx context.Context, id model.RequestID, from int) (*model.Answer, error) {
	select {
	case <-b.started:
	case <-ctx.Done():
		return nil, eris.Wrap(context.Cause(ctx), "replay: no answer yet")
	}
	if b.refusal != nil {
		return nil, b.refusal
	}
	n := b.oldest.Load()
	if n.index > from {
		return nil, ErrDropped
	}
	a := b.head
	a.Request = id
	a.Frames = &reader{buffer: b, at: n, id: id, from: from}
	return &a, nil
}

// reader reads the frames of a buffer. It implements model.FrameReader.
type reader struct {
	buffer *Buffer
	at     *node
	id     model.RequestID
	from   int
}

// Next implements model.FrameReader.
func (r *reader) Next(ctx context.Context) (model.Frame, error) {
	for {
		select {
		case <-r.at.ready:
		case <-ctx.Done():
			return model.Frame{}, eris.Wrap(context.Cause(ctx), "replay: reader stopped")
		}
		if r.at.err != nil {
			if r.at.index < r.from {
				return model.Frame{}, ErrDropped // the answer ended before the requested index
			}
			return model.Frame{}, r.at.err
		}
		if r.at.index < r.buffer.oldest.Load().index {
			return model.Frame{}, ErrDropped // the reader is behind the oldest buffered frame
		}
		f := r.at.frame
		r.at = r.at.next
		if f.Index >= r.from {
			f.Request = r.id
			return f, nil
		}
	}
}

// Close implements model.FrameReader.
func (r *reader) Close() error { return nil }

var _ model.FrameReader = (*reader)(nil)

// IsComplete reports whether err marks the end of a complete answer.
func IsComplete(err error) bool { return eris.Is(err, io.EOF) }
