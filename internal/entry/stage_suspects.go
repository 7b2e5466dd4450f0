package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// foldSuspects keeps the fingerprints that were in flight at crashes.
type foldSuspects struct{ self model.InstanceID }

func (foldSuspects) Name() string { return "fold_suspects" }

func (st foldSuspects) Apply(s *State, now time.Time, ev control.Event) bool {
	changed := false
	if s.released != s.Config {
		s.released = s.Config
		s.suspects.SetReleased(s.Config.Lists.Released)
		changed = true
	}
	switch ev := ev.(type) {
	case newsHeard:
		for _, c := range ev.crashes {
			changed = s.suspects.Add(now, c) || changed
		}
	case crashHeard:
		changed = s.suspects.Add(now, ev.crash) || changed
		next := s.notices.Forward(now, "crash/"+ev.crash.ID, ev.tree, st.self, s.peers.PoolPeers(ev.pool, model.InstanceID(ev.crash.Endpoint)))
		ev.Reply(s.peers.Hops(next))
	case crashesAsked:
		ev.Reply(s.suspects.Recent(now, ev.within))
	case repeatRequest:
		// The refusal names the crash even if no notice can reach this entry.
		if ev.refusal.Reason == model.ReasonCrashed && ev.refusal.Crash != "" {
			changed = s.suspects.Add(now, suspect.Crash{ID: ev.refusal.Crash, Endpoint: ev.request.Target, At: now, Fingerprints: []uint64{ev.request.Fingerprint}}) || changed
		}
	case control.Tick:
		changed = s.suspects.Sweep(now) || changed
	}
	if changed {
		s.refused, s.touched = s.suspects.View(now), s.suspects.Quarantined(now)
	}
	return changed
}
