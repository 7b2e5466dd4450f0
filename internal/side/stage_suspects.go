package side

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// trackSuspects keeps the requests in flight at the endpoint and the fingerprints that
// were in flight at crashes.
type trackSuspects struct{ settings Settings }

func (trackSuspects) Name() string { return "fold_suspects" }

func (st trackSuspects) Apply(s *State, now time.Time, ev control.Event) bool {
	changed := false
	if s.releasedConfig != s.Config {
		s.releasedConfig = s.Config
		s.suspects.SetReleased(s.Config.Lists.Released)
		changed = true
	}
	switch ev := ev.(type) {
	case runStarted:
		s.inFlight[ev.id] = ev.fingerprint
	case runEnded:
		delete(s.inFlight, ev.id)
		delete(s.crashByRequest, ev.id)
	case crashObserved:
		reply := st.assignCrash(s, now, ev)
		changed = reply.broadcast
		ev.Reply(reply)
	case crashNoticeReceived:
		changed = s.suspects.Add(now, ev.crash)
		next := s.notices.Forward(now, "crash/"+ev.crash.ID, ev.tree, st.settings.Instance, s.peers.PoolPeers(st.settings.Pool, model.InstanceID(ev.crash.Endpoint)))
		ev.Reply(s.peers.Hops(next))
	case crashBroadcastDone:
		if done := s.broadcasts[ev.id]; done != nil {
			close(done)
			delete(s.broadcasts, ev.id)
		}
	case gossipReceived:
		s.latches.Merge(ev.latches)
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

// assignCrash returns the crash that a request observed. All requests in flight at
// that time are assigned to the same crash; those that start later are assigned to the
// next one.
func (st trackSuspects) assignCrash(s *State, now time.Time, ev crashObserved) crashReply {
	if c, known := s.crashByRequest[ev.id]; known {
		return crashReply{crash: c, done: s.broadcasts[c.ID]}
	}
	if !ev.ran {
		delete(s.inFlight, ev.id)
	}
	inFlight := slices.DeleteFunc(slices.Sorted(maps.Values(s.inFlight)), func(f uint64) bool { return f == 0 })
	if len(inFlight) == 0 {
		return crashReply{}
	}
	s.crashCount++
	c := suspect.Crash{ID: fmt.Sprintf("%s-%d-%x", st.settings.Instance, s.crashCount, now.UnixMilli()), Endpoint: st.settings.EndpointID(), At: now}
	c.Fingerprints = suspect.SampleInFlight(slices.Compact(inFlight), c.ID)
	for id := range s.inFlight {
		s.crashByRequest[id] = c
	}
	clear(s.inFlight)
	s.suspects.Add(now, c)
	s.broadcasts[c.ID] = make(chan struct{})
	reply := crashReply{crash: c, broadcast: true, done: s.broadcasts[c.ID]}
	for tree := range summary.BroadcastTrees {
		peers := s.peers.PoolPeers(st.settings.Pool, st.settings.Instance)
		reply.firstHops = append(reply.firstHops, s.peers.Hops(summary.Hops("crash/"+c.ID, tree, st.settings.Instance, peers))...)
	}
	return reply
}
