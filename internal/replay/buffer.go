package replay

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// frameOverhead is the memory of one kept frame besides its data, in bytes.
const frameOverhead = 200

// node is one place in the list of frames. Its fields are written once, before
// ready is closed.
type node struct {
	ready chan struct{}
	frame model.Frame
	err   error // end of the answer; io.EOF if it is whole
	next  *node
	index int // index of the frame
	bytes int64
}

// Buffer holds the answer of one request while it runs and for some time after.
type Buffer struct {
	started chan struct{} // closed when head or refusal is set
	head    model.Answer
	refusal error
	first   atomic.Pointer[node] // oldest kept frame
	tail    *node                // owned by the writer
	bytes   int64                // owned by the writer
	limit   int64
}

// NewBuffer returns an empty buffer that keeps about limit bytes.
func NewBuffer(limit int64) *Buffer {
	return &Buffer{started: make(chan struct{}), limit: limit}
}

// Start sets the head of the answer, whose first frame has index from.
func (b *Buffer) Start(head model.Answer, from int) {
	b.head = head
	b.head.Frames = nil
	b.tail = &node{ready: make(chan struct{}), index: from}
	b.first.Store(b.tail)
	close(b.started)
}

// Refuse ends the buffer without an answer.
func (b *Buffer) Refuse(err error) {
	b.refusal = err
	close(b.started)
}

// Append adds a frame. Above the limit the oldest frames are dropped.
func (b *Buffer) Append(f model.Frame) {
	n := b.tail
	n.frame, n.bytes = f, int64(len(f.Data))+frameOverhead
	b.tail = &node{ready: make(chan struct{}), index: n.index + 1}
	n.next = b.tail
	b.bytes += n.bytes
	close(n.ready)
	for oldest := b.first.Load(); b.bytes > b.limit && oldest != n; oldest = oldest.next {
		b.bytes -= oldest.bytes
		b.first.Store(oldest.next)
	}
}

// End ends the answer; err is io.EOF if it is whole.
func (b *Buffer) End(err error) {
	b.tail.err = err
	close(b.tail.ready)
}

// Next returns the index that the next appended frame gets. Only the writer
// may call it.
func (b *Buffer) Next() int { return b.tail.index }

// Bytes returns the size of the kept frames. Only the writer may call it.
func (b *Buffer) Bytes() int64 { return b.bytes }

// ErrDropped is the error of a reader that asks for a frame that is not kept.
var ErrDropped = eris.New("replay: the frame is no longer kept")

// Answer waits for the head and returns the answer as the answer to request
// id, with the frames from index from on.
func (b *Buffer) Answer(ctx context.Context, id model.RequestID, from int) (*model.Answer, error) {
	select {
	case <-b.started:
	case <-ctx.Done():
		return nil, eris.Wrap(context.Cause(ctx), "replay: no answer yet")
	}
	if b.refusal != nil {
		return nil, b.refusal
	}
	n := b.first.Load()
	if n.index > from {
		return nil, ErrDropped
	}
	a := b.head
	a.Request = id
	a.Frames = &reader{buffer: b, at: n, id: id, from: from}
	return &a, nil
}

// reader follows a buffer. It implements model.FrameReader.
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
				return model.Frame{}, ErrDropped // the answer ended before the wanted index
			}
			return model.Frame{}, r.at.err
		}
		if r.at.index < r.buffer.first.Load().index {
			return model.Frame{}, ErrDropped // fell behind by more than the buffer
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

// Whole reports whether err ends a whole answer.
func Whole(err error) bool { return eris.Is(err, io.EOF) }
