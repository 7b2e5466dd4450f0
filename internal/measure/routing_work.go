package measure

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// attempt sends a request to the next endpoint of its order.
func (r *routingRun) attempt(q *request) {
	if q.attempts >= len(q.order) {
		r.refuse(q, time.Second)
		return
	}
	en := r.engines[q.order[q.attempts]]
	r.after(r.size.oneWay, func() { r.offerToSide(en, q) })
}

// refuse refuses a request to its caller, who retries a few times.
func (r *routingRun) refuse(q *request, wait time.Duration) {
	r.stats.refused++
	if q.retries++; q.retries > callerMaxRetries {
		r.stats.gaveUp++
		return
	}
	r.after(wait, func() { r.arrive(q) })
}

// offerToSide makes a request arrive at the side process.
func (r *routingRun) offerToSide(en *simEngine, q *request) {
	if !en.up {
		r.after(r.size.oneWay, func() { r.handleRefusal(en, q, model.Refuse(model.ReasonUnreachable, "")) })
		return
	}
	r.ticket++
	en.offered[r.ticket] = q
	out := en.controller.Submit(r.now, admit.Work{
		Ticket: r.ticket, Workspace: model.Workspace(q.workspace), Cost: q.cost(), Retried: q.attempts > 0,
	})
	r.observer.recordMean(r)
	r.applyDecisions(en, out)
}

func (t turn) cost() model.Cost { return model.Cost{Prefill: t.prompt, Generate: t.tokens} }

// applyDecisions carries out admission decisions of the side.
func (r *routingRun) applyDecisions(en *simEngine, due []admit.Decision) {
	for _, d := range due {
		q, ok := en.offered[d.Ticket]
		if !ok {
			continue
		}
		delete(en.offered, d.Ticket)
		if d.Refusal != nil {
			r.after(r.size.oneWay, func() { r.handleRefusal(en, q, d.Refusal) })
			continue
		}
		r.admit(en, q, d.Ticket)
	}
}

// handleRefusal attempts the next endpoint after a refusal, as the entry does.
func (r *routingRun) handleRefusal(en *simEngine, q *request, refusal *model.Refusal) {
	r.recordOutcome(r.entries[q.entry], en, refusal.Reason, refusal.LoadRatio)
	if q.attempts++; q.attempts >= len(q.order) {
		r.refuse(q, max(refusal.RetryAfter, 100*time.Millisecond))
		return
	}
	r.attempt(q)
}

// recordOutcome records the outcome of an attempt at the entry, as the entry's
// stage does. The reason is empty without a refusal.
func (r *routingRun) recordOutcome(e *simEntry, en *simEngine, reason model.Reason, ratio float64) {
	id := model.InstanceID(en.id)
	switch reason {
	case model.ReasonUnreachable:
		e.poolValid = !e.table.RecordRefusedConnection(id, r.now) && e.poolValid
	case model.ReasonLeaving, model.ReasonDraining:
		e.poolValid = !e.table.RecordLeaving(id, r.now) && e.poolValid
	case model.ReasonOverloaded, model.ReasonCold, model.ReasonDataCentreOut:
		e.overBoundUntil[en.index], e.poolValid = r.now.Add(overBoundTTL), false
	default:
		e.poolValid = !e.table.RecordAnswer(id, r.now) && e.poolValid
		if _, over := e.overBoundUntil[en.index]; over {
			delete(e.overBoundUntil, en.index)
			e.poolValid = false
		}
	}
	e.loadRatio[en.index] = ratio
}

// admit runs an admitted request on the engine.
func (r *routingRun) admit(en *simEngine, q *request, t admit.Ticket) {
	r.observer.recordAdmission(r, en)
	q.admitted = r.now
	en.running[t] = q
	r.stats.lastAdmission[en.centre] = r.now
	wait := r.now.Sub(q.arrived)
	r.stats.waits = append(r.stats.waits, wait)
	if s := r.surge; s != nil && !q.surge && q.at >= s.from && q.at < s.to {
		r.stats.waitsOfOthers = append(r.stats.waitsOfOthers, wait)
	}
	r.transferCache(en, q)
	if r.method.ideal {
		en.cache = r.engines[0].cache // one shared cache with the memory of all engines, never emptied as a whole
	}
	hit := min(q.prompt, en.cache.use(q.chat))
	r.stats.prompt += q.prompt
	r.stats.cached += hit
	uncached := q.prompt - hit
	en.addPendingPrefill(uncached)
	rate := warmPrefillRate
	if en.cold {
		rate = coldPrefillRate
	}
	begin := r.now
	if en.busyUntil.After(begin) {
		begin = en.busyUntil
	}
	en.busyUntil = begin.Add(time.Duration(float64(uncached) / rate * float64(time.Second)))
	generation := en.generation
	r.at(en.busyUntil.Add(firstTokenTime), func() {
		if en.generation == generation {
			en.pendingPrefill -= uncached
			r.applyDecisions(en, en.controller.FirstToken(r.now, t))
			r.generate(en, q, t)
		}
	})
	e := r.entries[q.entry]
	ratio := en.controller.LoadRatio()
	r.after(r.size.oneWay, func() { r.recordOutcome(e, en, "", ratio) })
}

// transferCache copies the cache of a chat from the endpoint that the caller's
// return token names, as the side does before it runs a request of a chat whose
// cache is at another endpoint.
func (r *routingRun) transferCache(en *simEngine, q *request) {
	if !r.method.fleet() || r.tokenOf(q.chat) == "" || r.tokens[q.chat] == choose.ReturnToken(en.id) {
		return
	}
	for _, from := range r.engines {
		if choose.ReturnToken(from.id) != r.tokens[q.chat] || !from.up {
			continue
		}
		units := from.cache.use(q.chat)
		if units > en.cache.use(q.chat) && en.importLimiter.AllowN(r.now, 1) {
			en.cache.put(q.chat, units)
			r.stats.transferred++
		}
	}
}

// addPendingPrefill adds prompt units to prefill and records the peak while the
// engine is cold.
func (en *simEngine) addPendingPrefill(units int64) {
	en.pendingPrefill += units
	if en.cold {
		en.coldPeak = max(en.coldPeak, en.pendingPrefill)
	}
}

// generate generates the tokens of an answer in steps and ends the request.
func (r *routingRun) generate(en *simEngine, q *request, t admit.Ticket) {
	const step = 64
	generation := en.generation
	for done := int64(step); done < q.tokens && r.method.bounded(); done += step {
		r.after(time.Duration(done)*tokenTime, func() {
			if en.generation == generation {
				r.applyDecisions(en, en.controller.Progress(r.now, t, done))
			}
		})
	}
	r.after(time.Duration(q.tokens)*tokenTime, func() {
		if en.generation != generation {
			return
		}
		delete(en.running, t)
		en.cache.put(q.chat, q.prompt+q.tokens)
		r.tokens[q.chat] = choose.ReturnToken(en.id)
		r.stats.answered++
		r.applyDecisions(en, en.controller.Done(r.now, t))
	})
}

// loadObserver compares loads with the exact mean load. A side may use a mean as
// old as admit.MaxMeanAge, so a load is compared with the highest exact mean of
// that period.
type loadObserver struct {
	means []observedMean // of the last admit.MaxMeanAge, by falling mean and rising time
	worst float64        // highest ratio of a load right after an admission to its bound
}

type observedMean struct {
	at   time.Time
	mean float64
}

// recordMean records the exact mean at the current time.
func (o *loadObserver) recordMean(r *routingRun) {
	var sum int64
	n := 0
	for _, en := range r.engines {
		if en.up && !en.evacuated {
			sum += en.controller.Demand()
			n++
		}
	}
	mean := float64(sum) / float64(max(1, n))
	for len(o.means) > 0 && o.means[len(o.means)-1].mean <= mean {
		o.means = o.means[:len(o.means)-1]
	}
	o.means = append(o.means, observedMean{r.now, mean})
	for r.now.Sub(o.means[0].at) > admit.MaxMeanAge {
		o.means = o.means[1:]
	}
}

// recordAdmission compares the load of an engine right after an admission with
// its bound. A single request on an idle engine is always allowed.
func (o *loadObserver) recordAdmission(r *routingRun, en *simEngine) {
	o.recordMean(r)
	if en.controller.Running() > 1 {
		o.worst = max(o.worst, float64(en.controller.Load())/(poolLimits.LoadMultiple*o.means[0].mean))
	}
}
