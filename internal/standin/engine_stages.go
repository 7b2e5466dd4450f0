package standin

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// engineFaults switches faults.
type engineFaults struct{}

func (engineFaults) Name() string { return "engine_faults" }

func (engineFaults) Apply(s *engineState, now time.Time, ev control.Event) bool {
	f, ok := ev.(engineFaultsSet)
	if !ok {
		return false
	}
	s.faults, s.faultsAt = f.faults, now
	if s.faults.Cold {
		s.cold, s.confirmed = true, 0
		s.cache.clear(s.cfg.CacheTokens)
	}
	return true
}

// engineProcess ends and restarts the engine process.
type engineProcess struct{}

func (engineProcess) Name() string { return "engine_process" }

func (st engineProcess) Apply(s *engineState, now time.Time, ev control.Event) bool {
	changed := false
	switch ev := ev.(type) {
	case crash:
		st.crash(s, now)
		changed = true
	case generate:
		if marker := s.faults.CrashMarker; s.up() && marker != "" && bytes.Contains(ev.run.req.Body, []byte(marker)) {
			st.crash(s, now)
			changed = true
		}
	case waitProcess:
		s.waitUp = append(s.waitUp, ev)
	}
	if !s.up() && !now.Before(s.downUntil) {
		s.restart(now, true)
		changed = true
	}
	kept := s.waitUp[:0]
	for _, w := range s.waitUp {
		if w.up != s.up() {
			kept = append(kept, w)
			continue
		}
		w.Reply(true)
	}
	clear(s.waitUp[len(kept):])
	s.waitUp = kept
	return changed
}

func (engineProcess) crash(s *engineState, now time.Time) {
	s.stats.Crashes++
	s.downUntil = now.Add(max(time.Millisecond, time.Duration(s.faults.DownMS)*time.Millisecond))
	for _, r := range s.running {
		r.end(ErrCrashed)
	}
	for _, r := range s.waiting {
		r.reply.Reply(slot{err: ErrCrashed})
	}
	s.running, s.waiting = nil, nil
}

func (r *running) end(cause error) {
	r.cause = cause
	close(r.stop)
}

// engineBatch gives slots to requests by priority and takes them back.
type engineBatch struct{}

func (engineBatch) Name() string { return "engine_batch" }

func (st engineBatch) Apply(s *engineState, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case generate:
		st.arrive(s, ev)
	case firstToken:
		st.confirm(s, ev.run)
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

func (engineBatch) arrive(s *engineState, ev generate) {
	r := ev.run
	r.reply, r.version = ev.Deferred, r.req.Version
	if r.version == "" {
		r.version = s.cfg.Version
	}
	switch {
	case !s.up():
		r.reply.Reply(slot{err: ErrCrashed})
		return
	case !slices.Contains(s.engine.Loaded, r.version):
		r.reply.Reply(slot{err: ErrNotLoaded})
		return
	}
	s.arrivals++
	r.arrived = s.arrivals
	i, _ := slices.BinarySearchFunc(s.waiting, r, func(a, b *running) int {
		return cmp.Or(cmp.Compare(b.req.Priority, a.req.Priority), cmp.Compare(a.arrived, b.arrived))
	})
	s.waiting = slices.Insert(s.waiting, i, r)
}

// start gives r a slot, unless its version fails it.
func (st engineBatch) start(s *engineState, now time.Time, r *running) {
	since, n := now.Sub(s.faultsAt), len(s.running)+1
	for _, f := range s.faults.Versions {
		if f.FailShare > 0 && f.matches(r.version, r.req.Route, since, n) && s.random.Float64() < f.FailShare {
			r.reply.Reply(slot{err: ErrFailed})
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
	first = time.Duration(float64(first) * slowFactor(s.faults.Versions, r.version, r.req.Route, since, n))
	r.started = true
	s.running = append(s.running, r)
	r.reply.Reply(slot{run: r, version: r.version, cached: cached, first: first})
}

// coldDelay returns the added time of the first token of r on a cold engine. A
// single request is always borne; work without a first token beyond ColdBears
// makes all later first tokens slower in proportion.
func (engineBatch) coldDelay(s *engineState, r *running) time.Duration {
	outstanding, others := r.units(), 0
	for _, o := range s.running {
		if !o.first {
			outstanding += o.units()
			others++
		}
	}
	if s.cfg.ColdBears == 0 || others == 0 || outstanding <= s.cfg.ColdBears {
		return s.cfg.ColdTime
	}
	s.stats.ColdOverloads++
	return time.Duration(float64(s.cfg.ColdTime) * float64(outstanding) / float64(s.cfg.ColdBears))
}

// confirm counts a first token and warms the engine up.
func (engineBatch) confirm(s *engineState, r *running) {
	if r.first || !slices.Contains(s.running, r) {
		return
	}
	r.first = true
	if !s.cold {
		return
	}
	s.confirmed++
	s.cold = s.faults.Cold || s.confirmed < s.cfg.WarmAfter
}

func (engineBatch) finish(s *engineState, ev finished) {
	if i := slices.Index(s.waiting, ev.run); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.stats.Cancelled++
		return
	}
	i := slices.Index(s.running, ev.run)
	if i < 0 {
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	if ev.generated < ev.run.req.MaxTokens {
		s.stats.Cancelled++
	} else {
		s.stats.Whole++
	}
	s.cache.store(ev.run.req.Chat, ev.run.version, ev.run.req.Prefill+ev.generated)
}

func (engineBatch) cancel(s *engineState, id model.RequestID) {
	for i, r := range s.waiting {
		if r.req.ID == id {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			s.stats.Cancelled++
			r.reply.Reply(slot{err: ErrCancelled})
			return
		}
	}
	for i, r := range s.running {
		if r.req.ID == id {
			s.running = slices.Delete(s.running, i, i+1)
			s.stats.Cancelled++
			r.end(ErrCancelled)
			return
		}
	}
}

// engineReports keeps the lagging load report and answers reads of events.
type engineReports struct{}

func (engineReports) Name() string { return "engine_reports" }

func (engineReports) Apply(s *engineState, now time.Time, ev control.Event) bool {
	changed := false
	if s.cfg.LoadLag > 0 {
		if _, tick := ev.(control.Tick); tick {
			s.history = append(s.history, loadSample{now, s.load(now)})
			for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.cfg.LoadLag {
				s.history = s.history[1:]
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
