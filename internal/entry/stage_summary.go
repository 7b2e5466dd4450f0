package entry

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// aggregateReports keeps the load sums of this entry as an aggregator and as a root,
// merges latches and forwards leaving notices.
type aggregateReports struct {
	settings Settings
	meter    *exchange.Meter
}

func (aggregateReports) Name() string { return "sum_reports" }

// crashGossipWindow is the time for which messages piggyback a crash. Every side
// reports several times within it, even at the longest report interval.
const crashGossipWindow = 10 * time.Second

func (st aggregateReports) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case reportReceived:
		s.aggregator.AddReport(now, ev.report)
		ev.Reply(reportReply{mean: s.aggregator.Mean(now, ev.report.Key), stretch: st.meter.Stretch(now), gossip: s.gossip(now)})
	case groupSumsReceived:
		for _, g := range ev.sums {
			s.aggregator.AddSum(now, g.Key, g.Group, g.Sum)
		}
		ev.Reply(groupSumsReply{mean: s.aggregator.RootMean(now, ev.key), gossip: s.gossip(now)})
	case groupSumsQuery:
		ev.Reply(st.messages(s, now))
	case meanReceived:
		s.aggregator.AddMean(now, ev.key, ev.mean)
	case gossipReceived:
		s.latches.Merge(ev.latches)
	case leavingNoticeReceived:
		return st.applyLeavingNotice(s, now, ev)
	case control.Tick:
		s.aggregator.Sweep(now)
		s.notices.Sweep(now)
	}
	return false
}

// applyLeavingNotice marks the instance as leaving and replies with the next hops of
// the notice.
func (st aggregateReports) applyLeavingNotice(s *State, now time.Time, ev leavingNoticeReceived) bool {
	next := s.notices.Forward(now, "leaving/"+string(ev.instance), ev.tree, st.settings.Instance, s.peers.Entries)
	ev.Reply(s.peers.Hops(next))
	s.aggregator.AddReport(now, summary.Report{Endpoint: model.EndpointID(ev.instance), Leaving: true})
	s.Members.RecordLeaving(ev.instance, now)
	s.derivedValid = false
	return true
}

// gossip returns the state to piggyback on a message at now.
func (s *State) gossip(now time.Time) gossip {
	return gossip{offset: s.Config.Offset, latches: s.latches.Clone(), crashes: s.suspects.Recent(now, crashGossipWindow)}
}

// messages returns the messages with group sums to the roots of all pools that have
// several groups.
func (st aggregateReports) messages(s *State, now time.Time) []groupSumsMessage {
	byKey := map[summary.Key][]summary.GroupSum{}
	var keys []summary.Key
	for _, g := range s.aggregator.GroupSums(now) {
		if len(byKey[g.Key]) == 0 {
			keys = append(keys, g.Key)
		}
		byKey[g.Key] = append(byKey[g.Key], g)
	}
	var out []groupSumsMessage
	s.rootRotation++
	for _, k := range keys {
		groups := summary.Groups(s.peers.EndpointCount(k.Pool))
		if groups == 1 {
			continue
		}
		roots := slices.DeleteFunc(summary.Roots(k, groups, s.peers.Entries), func(id model.InstanceID) bool { return id == st.settings.Instance })
		// The roots get the sums in turn. Two aggregators report each group, so each
		// root receives the sum of a group about once a second.
		if addresses := s.peers.Addresses(roots); len(addresses) > 0 {
			out = append(out, groupSumsMessage{address: addresses[s.rootRotation%len(addresses)], key: k, sums: byKey[k], gossip: s.gossip(now)})
		}
	}
	return out
}
