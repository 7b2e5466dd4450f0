package replay

import "time"

// Limits bounds the answers of an index.
type Limits struct {
	AnswerBytes int64         // size of the buffer of one answer
	TotalBytes  int64         // size of all finished answers; the oldest are dropped first
	Retention   time.Duration // how long a finished answer is kept
	Grace       time.Duration // time without readers after which a running request is cancelled
}

// Key identifies an answer within the process.
type Key string

// Item is the answer of a running request or a finished answer.
type Item struct {
	Buffer      *Buffer
	fingerprint uint64
	readers     int
	idleSince   time.Time // when the last reader was detached
	finished    bool
	bytes       int64
	cancel      func(cause error) // cancels the request; nil if it must not be cancelled
}

// Index holds the buffers of running and finished answers by key. It belongs to
// the control goroutine.
type Index struct {
	limits        Limits
	items         map[Key]*Item
	finished      []finishedItem // oldest first
	finishedBytes int64          // size of the finished answers
}

type finishedItem struct {
	key        Key
	item       *Item
	finishedAt time.Time
}

// NewIndex returns an empty index.
func NewIndex(l Limits) *Index { return &Index{limits: l, items: map[Key]*Item{}} }

// AttachResult is the result of Attach.
type AttachResult int

// The results of Attach.
const (
	Missing  AttachResult = iota // there is no answer with the key
	Attached                     // a reader was added to the answer
	Mismatch                     // the key belongs to a request with another fingerprint
)

// Attach adds a reader to the answer with the given key.
func (x *Index) Attach(key Key, fingerprint uint64) (*Buffer, AttachResult) {
	it := x.items[key]
	if it == nil {
		return nil, Missing
	}
	if it.fingerprint != fingerprint {
		return nil, Mismatch
	}
	it.readers++
	return it.Buffer, Attached
}

// Create adds the answer of a new request, with one reader. It replaces an older
// answer with the same key, whose readers keep their buffer.
func (x *Index) Create(key Key, fingerprint uint64, cancel func(cause error)) *Buffer {
	it := &Item{Buffer: NewBuffer(x.limits.AnswerBytes), fingerprint: fingerprint, readers: 1, cancel: cancel}
	x.items[key] = it
	return it.Buffer
}

// Detach removes a reader of buffer.
func (x *Index) Detach(key Key, buffer *Buffer, now time.Time) {
	if it := x.items[key]; it != nil && it.Buffer == buffer {
		it.readers--
		it.idleSince = now
	}
}

// Finish marks the answer in buffer, of the given size, as finished. The answer is
// removed unless keep is set.
func (x *Index) Finish(key Key, buffer *Buffer, bytes int64, keep bool, now time.Time) {
	it := x.items[key]
	if it == nil || it.Buffer != buffer {
		return
	}
	if !keep {
		delete(x.items, key)
		return
	}
	it.finished, it.cancel, it.bytes = true, nil, bytes
	x.finishedBytes += bytes
	x.finished = append(x.finished, finishedItem{key, it, now})
	x.dropFinished(now)
}

func (x *Index) dropFinished(now time.Time) {
	for len(x.finished) > 0 && (x.finishedBytes > x.limits.TotalBytes || now.Sub(x.finished[0].finishedAt) >= x.limits.Retention) {
		oldest := x.finished[0]
		x.finished[0] = finishedItem{}
		x.finished = x.finished[1:]
		x.finishedBytes -= oldest.item.bytes
		if x.items[oldest.key] == oldest.item {
			delete(x.items, oldest.key)
		}
	}
}

// Sweep drops finished answers after their retention and cancels running requests
// that had no readers for the grace time. It returns the number of cancelled
// requests.
func (x *Index) Sweep(now time.Time, cause error) int {
	x.dropFinished(now)
	cancelled := 0
	for _, it := range x.items {
		if !it.finished && it.readers == 0 && it.cancel != nil && now.Sub(it.idleSince) >= x.limits.Grace {
			it.cancel(cause)
			it.cancel = nil
			cancelled++
		}
	}
	return cancelled
}

// CancelAll cancels all running requests that may be cancelled.
func (x *Index) CancelAll(cause error) {
	for _, it := range x.items {
		if !it.finished && it.cancel != nil {
			it.cancel(cause)
			it.cancel = nil
		}
	}
}

// Running returns the number of answers of running requests.
func (x *Index) Running() int {
	n := 0
	for _, it := range x.items {
		if !it.finished {
			n++
		}
	}
	return n
}

// Bytes returns the size of the finished answers.
func (x *Index) Bytes() int64 { return x.finishedBytes }
