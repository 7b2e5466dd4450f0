package side

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// foldSuspects knows which requests are at the endpoint and which fingerprints
// were there at crashes.
type foldSuspects struct{ settings Settings }

func (foldSuspects) Name() string { return "fold_suspects" }

func (st foldSuspects) Apply(s *State, now time.Time, ev control.Event) bool {
	changed := false
	if s.released != s.Config {
		s.released = s.Config
		s.suspects.SetReleased(s.Config.Lists.Released)
		changed = true
	}
	switch ev := ev.(type) {
	case runStarted:
		s.inFlight[ev.id] = ev.fingerprint
	case runEnded:
		delete(s.inFlight, ev.id)
		delete(s.crashOf, ev.id)
	case crashSeen:
		v := st.crashed(s, now, ev)
		changed = v.mine
		ev.Reply(v)
	case crashHeard:
		changed = s.suspects.Add(now, ev.crash)
		next := s.notices.Forward(now, "crash/"+ev.crash.ID, ev.tree, st.settings.Instance, s.peers.PoolPeers(st.settings.Pool, model.InstanceID(ev.crash.Endpoint)))
		ev.Reply(s.peers.Hops(next))
	case crashSpread:
		if done := s.spreads[ev.id]; done != nil {
			close(done)
			delete(s.spreads, ev.id)
		}
	case newsHeard:
		s.verdicts.Merge(ev.verdicts)
		for _, c := range ev.crashes {
			changed = s.suspects.Add(now, c) || changed
		}
	case control.Tick:
		s.notices.Sweep(now)
		changed = s.suspects.Sweep(now)
	}
	if changed {
		s.refused = s.suspects.View(now)
	}
	return changed
}

// crashed finds the crash that a request took part in. All requests in flight
// belong to the same crash; those that start later belong to the next one.
func (st foldSuspects) crashed(s *State, now time.Time, ev crashSeen) crashVerdict {
	if c, known := s.crashOf[ev.id]; known {
		return crashVerdict{crash: c, done: s.spreads[c.ID]}
	}
	if !ev.ran {
		delete(s.inFlight, ev.id)
	}
	c := suspect.Crash{Endpoint: st.settings.EndpointID(), At: now}
	for _, f := range s.inFlight {
		if f != 0 && !slices.Contains(c.Fingerprints, f) {
			c.Fingerprints = append(c.Fingerprints, f)
		}
	}
	if len(c.Fingerprints) == 0 {
		return crashVerdict{}
	}
	slices.Sort(c.Fingerprints)
	s.crashes++
	c.ID = fmt.Sprintf("%s-%d-%x", st.settings.Instance, s.crashes, now.UnixMilli())
	for id := range s.inFlight {
		s.crashOf[id] = c
	}
	clear(s.inFlight)
	s.suspects.Add(now, c)
	s.spreads[c.ID] = make(chan struct{})
	v := crashVerdict{crash: c, mine: true, done: s.spreads[c.ID]}
	for tree := range summary.BroadcastTrees {
		others := s.peers.PoolPeers(st.settings.Pool, st.settings.Instance)
		v.first = append(v.first, s.peers.Hops(summary.Hops("crash/"+c.ID, tree, st.settings.Instance, others))...)
	}
	return v
}
