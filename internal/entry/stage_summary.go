package entry

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// sumReports keeps the sums of this entry as holder and root, and spreads
// leaving notices.
type sumReports struct {
	settings Settings
	meter    *exchange.Meter
}

func (sumReports) Name() string { return "sum_reports" }

// newsWindow is the time for which replies repeat a crash. Every side reports
// several times within it, even at the longest period.
const newsWindow = 10 * time.Second

func (st sumReports) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case reportReceived:
		s.holder.AddReport(now, ev.report)
		ev.Reply(reportAnswer{mean: s.holder.Mean(now, ev.report.Key), stretch: st.meter.Stretch(now), news: s.news(now)})
	case groupsReceived:
		for _, g := range ev.sums {
			s.holder.AddSum(now, g.Key, g.Group, g.Sum)
		}
		ev.Reply(groupsAnswer{mean: s.holder.RootMean(now, ev.key), news: s.news(now)})
	case takeGroups:
		ev.Reply(st.plans(s, now))
	case meanTold:
		s.holder.AddMean(now, ev.key, ev.mean)
	case newsHeard:
		s.verdicts.Merge(ev.verdicts)
	case leavingHeard:
		return st.leaving(s, now, ev)
	case control.Tick:
		s.holder.Sweep(now)
		s.notices.Sweep(now)
	}
	return false
}

func (st sumReports) leaving(s *State, now time.Time, ev leavingHeard) bool {
	next := s.notices.Forward(now, "leaving/"+string(ev.instance), ev.tree, st.settings.Instance, s.peers.Entries)
	ev.Reply(s.peers.Hops(next))
	s.holder.AddReport(now, summary.Report{Endpoint: model.EndpointID(ev.instance), Leaving: true})
	s.Members.RecordLeaving(ev.instance, now)
	s.derived = false
	return true
}

func (s *State) news(now time.Time) news {
	return news{offset: s.Config.Offset, verdicts: s.verdicts.Clone(), crashes: s.suspects.Recent(now, newsWindow)}
}

// plans returns the messages to the roots of all pools with several groups.
func (st sumReports) plans(s *State, now time.Time) []groupsPlan {
	byKey := map[summary.Key][]summary.GroupSum{}
	var keys []summary.Key
	for _, g := range s.holder.GroupSums(now) {
		if len(byKey[g.Key]) == 0 {
			keys = append(keys, g.Key)
		}
		byKey[g.Key] = append(byKey[g.Key], g)
	}
	var out []groupsPlan
	s.groupTurn++
	for _, k := range keys {
		groups := summary.Groups(s.peers.EndpointCount(k.Pool))
		if groups == 1 {
			continue
		}
		roots := slices.DeleteFunc(summary.Roots(k, groups, s.peers.Entries), func(id model.InstanceID) bool { return id == st.settings.Instance })
		// The roots get the sums in turn; two holders report each group, so each
		// root hears of it about every second.
		if to := s.peers.Addresses(roots); len(to) > 0 {
			out = append(out, groupsPlan{address: to[s.groupTurn%len(to)], key: k, sums: byKey[k], news: s.news(now)})
		}
	}
	return out
}
