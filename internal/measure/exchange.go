package measure

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Targets of the control exchange from docs/design.md, sections 1 and D2.
const (
	exMaxBytes = exBudgetBytes // bytes a second for each node at the first users' sizes
	exMaxAge   = 6             // seconds; the staleness limit of the mean load
)

// exchangeScenarios returns the scenarios of the control exchange.
func exchangeScenarios() []Scenario {
	return []Scenario{
		{Name: "exchange/bytes", Run: exchangeBytes},
		{Name: "exchange/age", Run: exchangeAge},
		{Name: "exchange/leaving", Run: exchangeLeaving},
	}
}

// exchangeBytes counts control bytes on the wire while every workspace is busy
// at every entry.
func exchangeBytes(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		env.Bubble(func() {
			f := newExFleet(env, u)
			const span = 60 * time.Second
			waitForLoad := f.load(span)
			f.wait(5 * time.Second) // until the token buckets of the budget settle
			before := f.usage()
			f.wait(span - 10*time.Second)
			entry, side := 0.0, 0.0
			for id, total := range f.usage() {
				rate := float64(total-before[id]) / (span - 10*time.Second).Seconds()
				if strings.HasPrefix(id, "entry") {
					entry = max(entry, rate)
				} else {
					side = max(side, rate)
				}
			}
			waitForLoad()
			f.close()
			out = append(out,
				Figure{Name: "exchange/bytes/" + u.name + "/entry", Value: exRound(entry), Unit: "B/s", Relation: AtMost, Target: exMaxBytes},
				Figure{Name: "exchange/bytes/" + u.name + "/side", Value: exRound(side), Unit: "B/s", Relation: AtMost, Target: exMaxBytes},
			)
		})
	}
	return out
}

// exRound rounds bytes up to hundreds: the encoded length of a gob number
// depends on its value.
func exRound(v float64) float64 { return math.Ceil(v/100) * 100 }

// usage returns the control bytes of each process so far.
func (f *exFleet) usage() map[string]int64 {
	out := map[string]int64{}
	for _, e := range f.entries {
		out[e.id] = e.entry.Meter().Usage().Total()
	}
	for _, s := range f.sides {
		out[s.id] = s.side.Meter().Usage().Total()
	}
	return out
}

// load sends about one request a second for each workspace through each entry.
// The returned function waits for the end of the load.
func (f *exFleet) load(span time.Duration) (wait func()) {
	done := make(chan struct{})
	n := 0
	for _, e := range f.entries {
		for ws := range exWorkspaces {
			n++
			start := time.Duration(f.rng.IntN(1_000_000)) * time.Microsecond
			gaps := make([]time.Duration, int(span/time.Second))
			for i := range gaps {
				gaps[i] = time.Duration(500_000+f.rng.IntN(1_000_000)) * time.Microsecond
			}
			go func() {
				f.wait(start)
				for i, gap := range gaps {
					id := fmt.Sprintf("%s-%d-%d", e.id, ws, i)
					e.send(f.ctx, ws, "/v1/chat/completions", id, fmt.Sprintf("chat-%d-%d", ws, i%7), fmt.Sprintf(exChatBody, id))
					f.wait(gap)
				}
				done <- struct{}{}
			}()
		}
	}
	return func() {
		for range n {
			select {
			case <-done:
			case <-f.ctx.Done():
			}
		}
	}
}

// exMaxLeaving is the bound, in seconds, on the time until a leaving endpoint
// gets its last new work (R8 in docs/design.md).
const exMaxLeaving = 4

// exchangeLeaving measures the time until every entry knows that a side is
// leaving, while the log is down, the instance list does not change and one
// entry has just stopped.
func exchangeLeaving(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		env.Bubble(func() {
			f := newExFleet(env, u)
			f.logDown.Store(true)
			f.entries[f.rng.IntN(len(f.entries))].stop()
			leaving, start := f.sides[f.rng.IntN(u.engines)], time.Now()
			f.group.Go(func() error { leaving.side.AnnounceLeaving(f.ctx); return nil })
			for f.entriesMissingOne(u.engines) < u.entries-1 && time.Since(start) < time.Minute {
				f.wait(time.Millisecond)
			}
			elapsed := time.Since(start).Seconds()
			f.close()
			out = append(out, Figure{Name: "exchange/leaving/" + u.name, Value: math.Ceil(elapsed*100) / 100, Unit: "s", Relation: AtMost, Target: exMaxLeaving})
		})
	}
	return out
}

// entriesMissingOne returns the number of entries at which all engines but one
// are usable.
func (f *exFleet) entriesMissingOne(engines int) int {
	n := 0
	for _, e := range f.entries {
		if e.entry.UsableEndpoints("chat") == engines-1 {
			n++
		}
	}
	return n
}

// exchangeAge samples the age of the mean load at all sides during faults, with
// the log down.
func exchangeAge(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		env.Bubble(func() {
			f := newExFleet(env, u)
			f.setListLag(func(id string) time.Duration { return time.Duration(len(id)*37%50) * 100 * time.Millisecond })
			f.logDown.Store(true)
			f.wait(5 * time.Second)
			worst := 0.0
			sampleWorst := func(span time.Duration) {
				for end := time.Now().Add(span); time.Now().Before(end); f.wait(97 * time.Millisecond) {
					for _, s := range f.sides {
						worst = max(worst, s.side.MeanLoadAge(time.Now()).Seconds())
					}
				}
			}
			sampleWorst(5 * time.Second)
			f.replaceAggregators(sampleWorst)
			f.flapEntry(sampleWorst)
			f.close()
			out = append(out, Figure{Name: "exchange/age/" + u.name, Value: math.Ceil(worst*2) / 2, Unit: "s", Relation: AtMost, Target: exMaxAge})
		})
	}
	return out
}

// replaceAggregators kills one entry after another and starts a new one for
// each. The instance list shows the change three seconds after the kill.
func (f *exFleet) replaceAggregators(run func(time.Duration)) {
	for i, old := range f.entries[:f.user.entries-1] {
		old.stop()
		run(3 * time.Second)
		f.listEntry(old.id, i, instances.Gone)
		n := f.user.entries + i
		f.addEntry(fmt.Sprintf("entry-%d", n), n)
		run(8 * time.Second)
	}
}

// flapEntry makes the instance list show a live entry as gone and live again
// several times. Each process receives the changes at a different time.
func (f *exFleet) flapEntry(run func(time.Duration)) {
	last := f.entries[len(f.entries)-1]
	for range 4 {
		f.listEntry(last.id, 0, instances.Gone)
		run(2 * time.Second)
		f.listEntry(last.id, 0, instances.Live)
		run(2 * time.Second)
	}
}

func (f *exFleet) listEntry(id string, i int, status instances.Status) {
	f.put(instances.Instance{ID: model.InstanceID(id), Role: instances.RoleEntry, DataCentre: f.dc(i), Status: status})
}
