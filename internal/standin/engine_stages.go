package standin

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// engineFaultStage is the stage that sets the active faults.
type engineFaultStage struct{}

func (engineFaultStage) Name() string { return "engine_faults" }

func (engineFaultStage) Apply(s *engineState, now time.Time, ev control.Event) bool {
	f, ok := ev.(setEngineFaults)
	if !ok {
		return false
	}
	s.faults, s.faultsSetAt = f.faults, now
	if s.faults.Cold {
		s.cold, s.firstTokens = true, 0
		s.cache.clear(s.cfg.CacheTokens)
	}
	return true
}

// engineProcess is the stage that crashes and restarts the engine process.
type engineProcess struct{}

func (engineProcess) Name() string { return "engine_process" }

func (st engineProcess) Apply(s *engineState, now time.Time, ev control.Event) bool {
	changed := false
	switch ev := ev.(type) {
	case crash:
		st.crash(s, now)
		changed = true
	case generate:
		if marker := s.faults.CrashMarker; s.up() && marker != "" && bytes.Contains(ev.request.req.Body, []byte(marker)) {
			st.crash(s, now)
			changed = true
		}
	case processWait:
		s.processWaits = append(s.processWaits, ev)
	}
	if !s.up() && !now.Before(s.downUntil) {
		s.restart(now, true)
		changed = true
	}
	kept := s.processWaits[:0]
	for _, w := range s.processWaits {
		if w.up != s.up() {
			kept = append(kept, w)
			continue
		}
		w.Reply(true)
	}
	clear(s.processWaits[len(kept):])
	s.processWaits = kept
	return changed
}

// crash ends the process and all its requests for DownMS, at least 1 ms.
func (engineProcess) crash(s *engineState, now time.Time) {
	s.stats.Crashes++
	s.downUntil = now.Add(max(time.Millisecond, time.Duration(s.faults.DownMS)*time.Millisecond))
	for _, r := range s.running {
		r.abort(ErrCrashed)
	}
	for _, r := range s.waiting {
		r.reply.Reply(slotGrant{err: ErrCrashed})
	}
	s.running, s.waiting = nil, nil
}

// abort ends a request that has a slot.
func (r *engineRequest) abort(cause error) {
	r.cause = cause
	close(r.stop)
}

// engineBatch is the stage that queues requests and assigns slots to them by
// priority.
type engineBatch struct{}

func (engineBatch) Name() string { return "engine_batch" }

func (st engineBatch) Apply(s *engineState, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case generate:
		st.enqueue(s, ev)
	case firstToken:
		st.recordFirstToken(s, ev.request)
	case finished:
		st.finish(s, ev)
	case cancelRequest:
		st.cancel(s, ev.id)
	default:
		return false
	}
	for len(s.waiting) > 0 && (s.cfg.Slots == 0 || len(s.running) < s.cfg.Slots) {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		st.start(s, now, r)
	}
	s.stats.MostRunning = max(s.stats.MostRunning, int64(len(s.running)))
	return true
}

// enqueue inserts a request into the queue: higher priorities first, in order of
// arrival within a priority.
func (engineBatch) enqueue(s *engineState, ev generate) {
	r := ev.request
	r.reply, r.version = ev.Deferred, r.req.Version
	if r.version == "" {
		r.version = s.cfg.Version
	}
	switch {
	case !s.up():
		r.reply.Reply(slotGrant{err: ErrCrashed})
		return
	case !slices.Contains(s.reported.Loaded, r.version):
		r.reply.Reply(slotGrant{err: ErrNotLoaded})
		return
	}
	s.arrivals++
	r.arrivalSeq = s.arrivals
	i, _ := slices.BinarySearchFunc(s.waiting, r, func(a, b *engineRequest) int {
		return cmp.Or(cmp.Compare(b.req.Priority, a.req.Priority), cmp.Compare(a.arrivalSeq, b.arrivalSeq))
	})
	s.waiting = slices.Insert(s.waiting, i, r)
}

// start assigns a slot to r, unless a fault of its version fails it.
func (st engineBatch) start(s *engineState, now time.Time, r *engineRequest) {
	sinceSet, batch := now.Sub(s.faultsSetAt), len(s.running)+1
	for _, f := range s.faults.Versions {
		if f.FailShare > 0 && f.matches(r.version, r.req.Route, sinceSet, batch) && s.random.Float64() < f.FailShare {
			r.reply.Reply(slotGrant{err: ErrFailed})
			return
		}
	}
	cached := min(s.cache.touch(r.req.Chat, r.version), max(0, r.req.Prefill-1))
	s.stats.Started++
	s.stats.Prefill += r.req.Prefill
	s.stats.Cached += cached
	first := time.Duration(r.req.Prefill-cached)*s.cfg.PrefillTime + s.cfg.TokenTime
	if s.cold {
		first += st.coldDelay(s, r)
	}
	first = time.Duration(float64(first) * slowFactor(s.faults.Versions, r.version, r.req.Route, sinceSet, batch))
	r.started = true
	s.running = append(s.running, r)
	r.reply.Reply(slotGrant{request: r, version: r.version, cached: cached, firstTokenTime: first})
}

// coldDelay returns the time that a cold engine adds to the first token of r. It
// is ColdTime, also for a single request of any cost. If r and the running
// requests without a first token exceed ColdLimit, the time grows in proportion
// to their cost and r counts as an overload.
func (engineBatch) coldDelay(s *engineState, r *engineRequest) time.Duration {
	outstanding, others := r.costUnits(), 0
	for _, other := range s.running {
		if !other.gotFirstToken {
			outstanding += other.costUnits()
			others++
		}
	}
	if s.cfg.ColdLimit == 0 || others == 0 || outstanding <= s.cfg.ColdLimit {
		return s.cfg.ColdTime
	}
	s.stats.ColdOverloads++
	return time.Duration(float64(s.cfg.ColdTime) * float64(outstanding) / float64(s.cfg.ColdLimit))
}

// recordFirstToken counts the first token of r. A cold engine is warm after
// WarmAfter of them, unless the fault Cold is active.
func (engineBatch) recordFirstToken(s *engineState, r *engineRequest) {
	if r.gotFirstToken || !slices.Contains(s.running, r) {
		return
	}
	r.gotFirstToken = true
	if !s.cold {
		return
	}
	s.firstTokens++
	s.cold = s.faults.Cold || s.firstTokens < s.cfg.WarmAfter
}

// finish removes a request from the batch or, if its caller cancelled it before
// it got a slot, from the queue.
func (engineBatch) finish(s *engineState, ev finished) {
	if i := slices.Index(s.waiting, ev.request); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.stats.Cancelled++
		return
	}
	i := slices.Index(s.running, ev.request)
	if i < 0 {
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	if ev.generated < ev.request.req.MaxTokens {
		s.stats.Cancelled++
	} else {
		s.stats.Whole++
	}
	s.cache.store(ev.request.req.Chat, ev.request.version, ev.request.req.Prefill+ev.generated)
}

// cancel ends the request with the given id, if it is queued or running.
func (engineBatch) cancel(s *engineState, id model.RequestID) {
	for i, r := range s.waiting {
		if r.req.ID == id {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			s.stats.Cancelled++
			r.reply.Reply(slotGrant{err: ErrCancelled})
			return
		}
	}
	for i, r := range s.running {
		if r.req.ID == id {
			s.running = slices.Delete(s.running, i, i+1)
			s.stats.Cancelled++
			r.abort(ErrCancelled)
			return
		}
	}
}

// engineReports is the stage that records samples for the delayed load report and
// answers reads of cache events.
type engineReports struct{}

func (engineReports) Name() string { return "engine_reports" }

func (engineReports) Apply(s *engineState, now time.Time, ev control.Event) bool {
	changed := false
	if s.cfg.LoadLag > 0 {
		if _, tick := ev.(control.Tick); tick {
			s.loadHistory = append(s.loadHistory, loadSample{now, s.load(now)})
			for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].at) >= s.cfg.LoadLag {
				s.loadHistory = s.loadHistory[1:]
			}
			changed = true
		}
	} else if _, tick := ev.(control.Tick); tick {
		changed = true
	}
	if r, ok := ev.(readEvents); ok {
		s.eventReads = append(s.eventReads, r)
	}
	kept := s.eventReads[:0]
	for _, r := range s.eventReads {
		out := s.cache.since(r.since, now.Add(-s.cfg.EventLag), s.cfg.EventGap)
		if len(out.Events) == 0 && now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		r.Reply(out)
	}
	clear(s.eventReads[len(kept):])
	s.eventReads = kept
	return changed
}
