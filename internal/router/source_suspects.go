package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// suspectWriter keeps the refused properties in the store, so that they outlast the
// routers that know them. Its goroutine owns the fields after queue.
type suspectWriter struct {
	r       *Router
	queue   chan suspect.Record
	pending map[uint64]suspect.Record // by key; not written yet
	loaded  bool                      // the records of the store have been read
}

func newSuspectWriter(r *Router) *suspectWriter {
	return &suspectWriter{r: r, queue: make(chan suspect.Record, 256), pending: map[uint64]suspect.Record{}}
}

// save queues a record, which replaces the one with the same key. If the queue is full
// it is dropped: the property is then known to the routers only.
func (w *suspectWriter) save(rec suspect.Record) {
	select {
	case w.queue <- rec:
	default:
		suspectRecordsDropped.Inc()
	}
}

// run reads the records of the store once and then writes those that are queued, until
// ctx ends.
func (w *suspectWriter) run(ctx context.Context) {
	dep := &dependency{r: w.r, name: "suspects"}
	for ctx.Err() == nil {
		if err := w.sync(ctx); err != nil {
			if !dep.failed(ctx, err) {
				return
			}
			w.takeQueued()
			continue
		}
		dep.succeeded()
		select {
		case rec := <-w.queue:
			w.add(rec)
			w.takeQueued()
		case <-ctx.Done():
			return
		}
	}
}

// takeQueued moves the queued records to pending.
func (w *suspectWriter) takeQueued() {
	for {
		select {
		case rec := <-w.queue:
			w.add(rec)
		default:
			return
		}
	}
}

// add adds a record to those to be written. While the store fails there may be more than
// a table of properties can hold.
func (w *suspectWriter) add(rec suspect.Record) {
	if _, known := w.pending[rec.Key]; !known && len(w.pending) >= suspect.MaxCauses {
		suspectRecordsDropped.Inc()
		return
	}
	w.pending[rec.Key] = rec
}

// sync reads the records of the store, if that has not been done yet, and writes the
// pending ones.
func (w *suspectWriter) sync(ctx context.Context) error {
	if !w.loaded {
		list, err := w.r.deps.Store.Suspects(ctx)
		if err == nil {
			w.loaded = true
			_ = w.r.loop.Post(ctx, suspectsRead{list})
		}
		w.r.closeWhenApplied(ctx, w.r.suspectsReady) // callers do not wait for a store that fails
		if err != nil {
			return err
		}
	}
	for key, rec := range w.pending {
		if err := w.r.deps.Store.PutSuspect(ctx, rec); err != nil {
			return err
		}
		delete(w.pending, key)
	}
	return nil
}
