package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// trackSuspects keeps the fingerprints that were in flight at crashes.
type trackSuspects struct{ self model.InstanceID }

func (trackSuspects) Name() string { return "fold_suspects" }

func (st trackSuspects) Apply(s *State, now time.Time, ev control.Event) bool {
	changed := false
	if s.releasedConfig != s.Config {
		s.releasedConfig = s.Config
		s.suspects.SetReleased(s.Config.Lists.Released)
		changed = true
	}
	switch ev := ev.(type) {
	case gossipReceived:
		for _, c := range ev.crashes {
			changed = s.suspects.Add(now, c) || changed
		}
	case crashNoticeReceived:
		changed = s.suspects.Add(now, ev.crash) || changed
		next := s.notices.Forward(now, "crash/"+ev.crash.ID, ev.tree, st.self, s.peers.PoolPeers(ev.pool, model.InstanceID(ev.crash.Endpoint)))
		ev.Reply(s.peers.Hops(next))
	case recentCrashesQuery:
		ev.Reply(s.suspects.Recent(now, ev.within))
	case retryQuery:
		// The refusal names the crash, in case the notice does not reach this entry.
		if ev.refusal.Reason == model.ReasonCrashed && ev.refusal.Crash != "" {
			changed = s.suspects.Add(now, suspect.Crash{ID: ev.refusal.Crash, Endpoint: ev.request.Target, At: now, Fingerprints: []uint64{ev.request.Fingerprint}}) || changed
		}
	case control.Tick:
		changed = s.suspects.Sweep(now) || changed
	}
	if changed {
		s.refused, s.quarantined = s.suspects.View(now), s.suspects.Quarantined(now)
	}
	return changed
}
