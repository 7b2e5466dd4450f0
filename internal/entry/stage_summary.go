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
		s.holder.Add(now, ev.report)
		ev.Reply(reportAnswer{mean: s.holder.Mean(now, ev.report.Key), stretch: st.meter.Stretch(now), news: s.news(now)})
	case groupsReceived:
		for _, g := range ev.sums {
			s.holder.AddSum(now, g.Key, g.Group, g.Sum)
		}
		ev.Reply(groupsAnswer{mean: s.holder.Root(now, ev.key), news: s.news(now)})
	case takeGroups:
		ev.Reply(st.plans(s, now))
	case meanTold:
		s.holder.AddMean(now, ev.key, ev.mean)
	case newsHeard:
		s.verdicts.Join(ev.verdicts)
	case leavingHeard:
		return st.leaving(s, now, ev)
	case control.Tick:
		s.holder.Sweep(now)
		for n, at := range s.notices {
			if now.Sub(at) > noticeTime {
				delete(s.notices, n)
			}
		}
	}
	return false
}

// noticeTime is how long a notice is remembered, so that it passes an entry
// once in each tree.
const noticeTime = time.Minute

// maxNotices bounds the notices that are remembered.
const maxNotices = 4096

// passOn returns where a notice goes on in its tree, or nothing if it has
// passed before.
func (s *exchangeState) passOn(now time.Time, n notice, self model.InstanceID) []string {
	if _, passed := s.notices[n]; passed || len(s.notices) >= maxNotices {
		return nil
	}
	s.notices[n] = now
	return s.peers.Addresses(summary.SpreadNext(n.id, n.tree, self, s.peers.Entries))
}

func (st sumReports) leaving(s *State, now time.Time, ev leavingHeard) bool {
	ev.Reply(s.passOn(now, notice{"leaving/" + string(ev.instance), ev.tree}, st.settings.Instance))
	s.holder.Add(now, summary.Report{Endpoint: model.EndpointID(ev.instance), Leaving: true})
	s.Members.NoteLeaving(ev.instance, now)
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
	for _, k := range keys {
		groups := summary.Groups(s.peers.Endpoints[k.Pool])
		if groups == 1 {
			continue
		}
		roots := slices.DeleteFunc(summary.Roots(k, groups, s.peers.Entries), func(id model.InstanceID) bool { return id == st.settings.Instance })
		for _, address := range s.peers.Addresses(roots) {
			out = append(out, groupsPlan{address: address, key: k, sums: byKey[k], news: s.news(now)})
		}
	}
	return out
}
