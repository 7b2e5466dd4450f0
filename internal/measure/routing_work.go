package measure

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// hand offers a request to the next endpoint of its order.
func (r *routingRun) hand(q *request) {
	if q.try >= len(q.order) {
		r.refuse(q, time.Second)
		return
	}
	en := r.engines[q.order[q.try]]
	r.after(r.size.oneWay, func() { r.offer(en, q) })
}

// refuse tells the caller, who repeats a few times.
func (r *routingRun) refuse(q *request, wait time.Duration) {
	r.stats.refused++
	if q.repeats++; q.repeats > callerGives {
		r.stats.given++
		return
	}
	r.after(wait, func() { r.arrive(q) })
}

// offer brings a request to the side process.
func (r *routingRun) offer(en *simEngine, q *request) {
	if !en.up {
		r.after(r.size.oneWay, func() { r.next(en, q, model.Refuse(model.ReasonUnreachable, "")) })
		return
	}
	r.ticket++
	en.asked[r.ticket] = q
	out := en.ctl.Offer(r.now, admit.Work{
		Ticket: r.ticket, Workspace: model.Workspace(q.workspace), Cost: q.cost(), Retried: q.try > 0,
	})
	r.observed.note(r)
	r.decide(en, out)
}

func (t turn) cost() model.Cost { return model.Cost{Prefill: t.prompt, Generate: t.tokens} }

// decide carries out decisions of the side.
func (r *routingRun) decide(en *simEngine, due []admit.Decision) {
	for _, d := range due {
		q, ok := en.asked[d.Ticket]
		if !ok {
			continue
		}
		delete(en.asked, d.Ticket)
		if d.Refusal != nil {
			r.after(r.size.oneWay, func() { r.next(en, q, d.Refusal) })
			continue
		}
		r.admit(en, q, d.Ticket)
	}
}

// next goes on after a refusal, as the entry does.
func (r *routingRun) next(en *simEngine, q *request, why *model.Refusal) {
	r.learn(r.entries[q.entry], en, why.Reason, why.LoadRatio)
	if q.try++; q.try >= len(q.order) {
		r.refuse(q, max(why.RetryAfter, 100*time.Millisecond))
		return
	}
	r.hand(q)
}

// learn keeps what a hand-over showed, as the entry's stage does.
func (r *routingRun) learn(e *simEntry, en *simEngine, why model.Reason, ratio float64) {
	id := model.InstanceID(en.id)
	switch why {
	case model.ReasonUnreachable:
		e.unchanged = !e.table.RecordRefusedConnection(id, r.now) && e.unchanged
	case model.ReasonLeaving, model.ReasonDraining:
		e.unchanged = !e.table.RecordLeaving(id, r.now) && e.unchanged
	case model.ReasonOverloaded, model.ReasonCold, model.ReasonDataCentreOut:
		e.over[en.index], e.unchanged = r.now.Add(overMark), false
	default:
		e.unchanged = !e.table.RecordAnswer(id, r.now) && e.unchanged
		if _, over := e.over[en.index]; over {
			delete(e.over, en.index)
			e.unchanged = false
		}
	}
	e.ratio[en.index] = ratio
}

// admit runs an admitted request on the engine.
func (r *routingRun) admit(en *simEngine, q *request, t admit.Ticket) {
	r.observed.admission(r, en)
	q.admitted = r.now
	en.running[t] = q
	r.stats.lastIn[en.centre] = r.now
	wait := r.now.Sub(q.arrived)
	r.stats.waits = append(r.stats.waits, wait)
	if s := r.surge; s != nil && !q.surge && q.at >= s.from && q.at < s.to {
		r.stats.waitsOfOthers = append(r.stats.waitsOfOthers, wait)
	}
	r.pull(en, q)
	if r.method.ideal {
		en.cache = r.engines[0].cache // one cache of all the memory, which nothing empties
	}
	hit := min(q.prompt, en.cache.use(q.chat))
	r.stats.prompt += q.prompt
	r.stats.cached += hit
	todo := q.prompt - hit
	en.addCold(todo)
	rate := warmRate
	if en.cold {
		rate = coldRate
	}
	begin := r.now
	if en.busyUntil.After(begin) {
		begin = en.busyUntil
	}
	en.busyUntil = begin.Add(time.Duration(float64(todo) / rate * float64(time.Second)))
	generation := en.generation
	r.at(en.busyUntil.Add(startTime), func() {
		if en.generation == generation {
			en.coldWork -= todo
			r.decide(en, en.ctl.FirstToken(r.now, t))
			r.generate(en, q, t)
		}
	})
	e := r.entries[q.entry]
	ratio := en.ctl.LoadRatio()
	r.after(r.size.oneWay, func() { r.learn(e, en, "", ratio) })
}

// pull copies the cache of a chat from the endpoint that its caller's token
// names, as the side does before it runs a request of another's chat.
func (r *routingRun) pull(en *simEngine, q *request) {
	if !r.method.fleet() || r.tokenOf(q.chat) == "" || r.tokens[q.chat] == choose.ReturnToken(en.id) {
		return
	}
	for _, from := range r.engines {
		if choose.ReturnToken(from.id) != r.tokens[q.chat] || !from.up {
			continue
		}
		units := from.cache.use(q.chat)
		if units > en.cache.use(q.chat) && en.copies.AllowN(r.now, 1) {
			en.cache.put(q.chat, units)
			r.stats.pulled++
		}
	}
}

func (en *simEngine) addCold(units int64) {
	en.coldWork += units
	if en.cold {
		en.coldPeak = max(en.coldPeak, en.coldWork)
	}
}

// generate runs the tokens of an answer in steps and ends it.
func (r *routingRun) generate(en *simEngine, q *request, t admit.Ticket) {
	const step = 64
	generation := en.generation
	for done := int64(step); done < q.tokens && r.method.bounded(); done += step {
		r.after(time.Duration(done)*tokenTime, func() {
			if en.generation == generation {
				r.decide(en, en.ctl.Progress(r.now, t, done))
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
		r.decide(en, en.ctl.Done(r.now, t))
	})
}

// observer knows all loads exactly. The stated staleness of the mean is
// admit.MeanStale, so a load is compared with the highest exact mean of that
// long.
type observer struct {
	means []observedMean // falling means, rising times
	worst float64        // highest load over multiple x mean right after an admission
}

type observedMean struct {
	at   time.Time
	mean float64
}

// note takes the exact mean now.
func (o *observer) note(r *routingRun) {
	var sum int64
	n := 0
	for _, en := range r.engines {
		if en.up && !en.out {
			sum += en.ctl.Demand()
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

// admission compares the load of an engine right after an admission. One
// request on an idle engine is always allowed.
func (o *observer) admission(r *routingRun, en *simEngine) {
	o.note(r)
	if en.ctl.Running() > 1 {
		o.worst = max(o.worst, float64(en.ctl.Load())/(poolLimits.LoadMultiple*o.means[0].mean))
	}
}
