package replay

import "time"

// Limits bounds what an index keeps.
type Limits struct {
	AnswerBytes int64         // of one answer
	TotalBytes  int64         // of finished answers; the oldest are dropped first
	Retention   time.Duration // time for which a finished answer is kept
	Grace       time.Duration // time without a reader after which running work is cancelled
}

// Key identifies an answer within the process.
type Key string

// Item is one running or kept answer.
type Item struct {
	Buffer      *Buffer
	fingerprint uint64
	readers     int
	idleSince   time.Time
	finished    bool
	bytes       int64
	cancel      func(cause error) // ends the work; nil if it must not be cancelled
}

// Index finds the buffers of running and kept answers. It belongs to the
// control goroutine.
type Index struct {
	limits Limits
	items  map[Key]*Item
	kept   []keptItem // finished items in the order in which they finished
	bytes  int64      // of finished items
}

type keptItem struct {
	key  Key
	item *Item
	at   time.Time
}

// NewIndex returns an empty index.
func NewIndex(l Limits) *Index { return &Index{limits: l, items: map[Key]*Item{}} }

// AttachResult is the result of Attach.
type AttachResult int

// The verdicts.
const (
	Missing  AttachResult = iota // nothing is kept under the key
	Attached                     // the buffer has one more reader
	Mismatch                     // the key belongs to a request with another fingerprint
)

// Attach adds a reader to the answer under key.
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

// Create registers a new running answer with one reader. It replaces an older
// one under the same key, whose readers stay with it.
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

// Finish ends the running of buffer. keep tells whether its answer is kept.
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
	x.bytes += bytes
	x.kept = append(x.kept, keptItem{key, it, now})
	x.dropOldest(now)
}

func (x *Index) dropOldest(now time.Time) {
	for len(x.kept) > 0 && (x.bytes > x.limits.TotalBytes || now.Sub(x.kept[0].at) >= x.limits.Retention) {
		k := x.kept[0]
		x.kept[0] = keptItem{}
		x.kept = x.kept[1:]
		x.bytes -= k.item.bytes
		if x.items[k.key] == k.item {
			delete(x.items, k.key)
		}
	}
}

// Sweep drops old answers and cancels running work that nobody has read for
// the grace time. It returns the number of cancelled requests.
func (x *Index) Sweep(now time.Time, cause error) int {
	x.dropOldest(now)
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

// CancelAll cancels all running work that may be cancelled.
func (x *Index) CancelAll(cause error) {
	for _, it := range x.items {
		if !it.finished && it.cancel != nil {
			it.cancel(cause)
			it.cancel = nil
		}
	}
}

// Running returns the number of answers that are not finished.
func (x *Index) Running() int {
	n := 0
	for _, it := range x.items {
		if !it.finished {
			n++
		}
	}
	return n
}

// Bytes returns the size of the finished answers that are kept.
func (x *Index) Bytes() int64 { return x.bytes }
