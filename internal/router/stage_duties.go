package router

import (
	"cmp"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/duty"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// countsInterval is the shortest time between two messages with counts to one peer,
	// and so bounds what is lost when a router ends. In large fleets the interval is
	// countsIntervalPerPeer times the number of peers, so that the holder of the duties
	// receives a bounded number of messages.
	countsInterval        = time.Second
	countsIntervalPerPeer = 12 * time.Millisecond
	// countsSettle is how long after the end of a window its counts are sent. A request
	// that began at the end is counted a few milliseconds later, and clocks differ by as
	// much.
	countsSettle = 250 * time.Millisecond
	// reportDelay is the least time from the end of a window to its report, so that no
	// difference of clocks makes two routers start one window in turn.
	reportDelay = time.Second
	// gatherTime is how long a router that has taken the duties waits for the counts of
	// the others, whose interval is a second.
	gatherTime = 1500 * time.Millisecond
	// maxCountsInMessage bounds the counts of one message. Longer ones are split.
	maxCountsInMessage = 8000
	// randomPeers is the number of peers beyond holder and second router that are sent a
	// message without counts, by which the routers compare their clocks.
	randomPeers = 1
	// isolatedRank is added to the order of a router that hears few of the others, so that
	// it takes over only if none of those that hear more does so for three seconds.
	isolatedRank = 8
	// minClocks is the number of clocks from which the true time must follow before a
	// report is made, if there are as many routers: the median of three is right although
	// one is off.
	minClocks = 3
)

// dutyState is the part of the control state that the duties need.
type dutyState struct {
	ledger *duty.Ledger
	clock  *duty.Clock
	self   duty.Origin
	holder model.InstanceID          // of the duties; empty if not known
	token  duty.Token                // of the holder
	left   map[model.InstanceID]bool // routers that said that they leave
}

func newDutyState(s Settings) *dutyState {
	self := duty.Origin{Router: string(s.Instance), Process: rand.Uint64() >> 1}
	return &dutyState{ledger: duty.NewLedger(self), clock: duty.NewClock(), self: self, left: map[model.InstanceID]bool{}}
}

// performDuties counts the requests that began, exchanges the counts with peers and says
// which reports are ready.
type performDuties struct{ log *slog.Logger }

func (performDuties) Name() string { return "duties" }

func (f performDuties) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case peerMessage:
		if name := model.InstanceID(e.name); e.leaving {
			s.duties.left[name] = true
		} else {
			delete(s.duties.left, name)
		}
	case membersRead:
		maps.DeleteFunc(s.duties.left, func(name model.InstanceID, _ bool) bool { _, ok := s.addresses[name]; return !ok })
	case requestBegan:
		d, at := s.duties, e.at
		d.clock.Sample(d.self.Router, sinceEpoch(now), boottime.Now())
		offset, _ := d.clock.Offset(at)
		window := int64((at + offset) / s.settings.Duties.Window)
		d.ledger.Advance(window)
		d.ledger.Count(window, string(e.workspace))
	case countsReceived:
		e.Reply(f.receive(s, now, e.args))
	case countsAnswered:
		s.duties.clock.Sample(string(e.router), time.Duration(e.reply.Wall), e.at)
		if e.reply.Taken {
			s.duties.ledger.Acked(string(e.router), e.reply.Process, e.rows)
		}
		f.learnHolder(s, model.InstanceID(e.reply.Holder), duty.Token(e.reply.Token))
	case countsPlan:
		e.Reply(f.plan(s, now, e.all))
	case holderSeen:
		f.learnHolder(s, e.holder, e.token)
	case dutyTurn:
		e.Reply(f.turn(s, now, e))
	}
	return false
}

// sinceEpoch returns the time since 1970.
func sinceEpoch(now time.Time) time.Duration { return time.Duration(now.UnixNano()) }

// trueTime returns the boot time, the true time since 1970 and the number of clocks from
// which it follows.
func (f performDuties) trueTime(s *State, now time.Time) (boot, at time.Duration, clocks int) {
	boot = boottime.Now()
	s.duties.clock.Sample(s.duties.self.Router, sinceEpoch(now), boot)
	offset, clocks := s.duties.clock.Offset(boot)
	s.duties.ledger.Advance(int64((boot + offset) / s.settings.Duties.Window))
	return boot, boot + offset, clocks
}

// learnHolder records who holds the duties. Tokens only rise.
func (f performDuties) learnHolder(s *State, holder model.InstanceID, token duty.Token) {
	if token > s.duties.token {
		f.log.Info("holder of the duties", "router", holder, "token", uint64(token))
		s.duties.holder, s.duties.token = holder, token
	}
}

// receive applies the message of a peer.
func (f performDuties) receive(s *State, now time.Time, a CountsArgs) CountsReply {
	boot, _, _ := f.trueTime(s, now)
	d, taken := s.duties, true
	if a.Router != d.self.Router && len(a.Router) <= maxRouterName {
		d.clock.Sample(a.Router, time.Duration(a.Wall), boot)
		for _, r := range a.Rows {
			taken = d.ledger.Merge(duty.Row{Origin: duty.Origin{Router: r.Router, Process: r.Process}, Window: r.Window, Counts: r.Counts}) && taken
		}
		if a.Through > 0 {
			d.ledger.Heard(duty.Origin{Router: a.Router, Process: a.Process}, time.Duration(a.Through))
		}
		f.learnHolder(s, model.InstanceID(a.Holder), duty.Token(a.Token))
	}
	return CountsReply{Taken: taken, Process: d.self.Process, Wall: int64(sinceEpoch(now)), Holder: string(d.holder), Token: uint64(d.token)}
}

// maxRouterName bounds the names of routers in messages.
const maxRouterName = 256

// plan returns the messages that are due: to the holder of the duties with all counts that
// it lacks, to a second router with those of this one, and to a random one for its clock.
func (f performDuties) plan(s *State, now time.Time, all bool) countsPlanReply {
	_, at, _ := f.trueTime(s, now)
	d := s.duties
	live := s.table.LivePeers(now)
	reply := countsPlanReply{holder: d.holder, token: d.token}
	reply.pause = max(countsInterval, time.Duration(len(live))*countsIntervalPerPeer)
	// The first messages after the end of a window complete it, those before it are less
	// urgent. All routers send them at the same time, so each waits a random part more.
	window := s.settings.Duties.Window
	untilEnd := window - at%window + countsSettle + time.Duration(rand.Int64N(int64(countsSettle)))
	if untilEnd < reply.pause+countsSettle {
		reply.pause = untilEnd
	}
	slices.SortFunc(live, func(a, b model.InstanceID) int {
		return cmp.Compare(pairRank(d.self.Router, b), pairRank(d.self.Router, a))
	})
	var random []model.InstanceID
	if d.holder != "" && d.holder != s.settings.Instance && !slices.Contains(live, d.holder) {
		live = append(live, d.holder) // calls may reach a router whose datagrams do not arrive
	}
	gone := func(router string) bool {
		return router != d.self.Router && !slices.Contains(live, model.InstanceID(router))
	}
	second := true
	for _, name := range live {
		switch {
		case all:
			if a, ok := s.addresses[name]; ok {
				reply.messages = append(reply.messages, countsMessage{router: name, address: a.address})
			}
		case name == d.holder:
			reply.messages = f.appendMessage(reply.messages, s, name, at, gone)
		case second:
			reply.messages = f.appendMessage(reply.messages, s, name, at, func(string) bool { return false })
			second = false
		default:
			random = append(random, name)
		}
	}
	for range min(randomPeers, len(random)) {
		name := random[rand.IntN(len(random))]
		if a, ok := s.addresses[name]; ok {
			reply.messages = append(reply.messages, countsMessage{router: name, address: a.address})
		}
	}
	return reply
}

// pairRank returns the weight of a peer in the order in which this router chooses the
// second one that gets its counts.
func pairRank(self string, peer model.InstanceID) uint64 {
	return xxhash.Sum64String(self + "\x00" + string(peer))
}

func (f performDuties) appendMessage(list []countsMessage, s *State, name model.InstanceID, at time.Duration, gone func(router string) bool) []countsMessage {
	a, ok := s.addresses[name]
	if !ok {
		return list
	}
	m := countsMessage{router: name, address: a.address, through: int64(at)}
	counts := 0
	for _, row := range s.duties.ledger.Outgoing(string(name), gone) {
		if counts += len(row.Counts); counts > maxCountsInMessage && len(m.rows) > 0 {
			m.through = 0
			break
		}
		m.rows = append(m.rows, row)
	}
	return append(list, m)
}

// turn returns what the source of the duties needs for its next step.
func (f performDuties) turn(s *State, now time.Time, e dutyTurn) dutyTurnReply {
	boot, at, clocks := f.trueTime(s, now)
	live := s.table.LivePeers(now)
	window := s.settings.Duties.Window
	reply := dutyTurnReply{at: boot, phase: s.phase, window: int64(at / window), routers: 1 + len(live)}
	own := takeoverRank(s.settings.Instance)
	for _, name := range live {
		if takeoverRank(name) > own {
			reply.rank++
		}
	}
	// A router that hears few of the others does not know their counts.
	known := f.known(s)
	reply.order = reply.rank
	if reply.isolated = 2*reply.routers < 1+len(known); reply.isolated {
		reply.order += isolatedRank
	}
	if e.takenAt != 0 && !reply.isolated {
		reply.demand = f.demand(s, now)
	}
	if e.takenAt == 0 || clocks < min(minClocks, 1+len(known)) {
		return reply
	}
	reply.skip = s.duties.ledger.Oldest()
	for w := max(e.next, reply.skip); ; w++ {
		end := time.Duration(w+1) * window
		if at < end+reportDelay || !f.ready(s, w, known, boot, at, e.takenAt, reply.isolated) {
			return reply
		}
		reply.ready = append(reply.ready, duty.Report{Window: w, Counts: s.duties.ledger.Totals(w)})
	}
}

// demand returns the demand of the pools whose endpoints can be ordered. During a roll-out
// endpoints of two versions are listed, so nothing is ordered.
func (f performDuties) demand(s *State, now time.Time) (out []duty.Demand) {
	if s.catalog == nil || !s.listed {
		return nil
	}
	for name, p := range s.catalog.Pools {
		if p.Scaling.Max == 0 || s.rollouts[name] != "" {
			continue
		}
		for _, d := range s.table.Demand(now, name) {
			out = append(out, duty.Demand{Subject: duty.Subject{Pool: string(name), DataCentre: string(d.DataCentre)},
				Endpoints: d.Endpoints, Slots: d.Slots, Load: d.Load, Min: p.Scaling.Min, Max: p.Scaling.Max, Boot: p.Scaling.Boot})
		}
	}
	return out
}

// known returns the other routers that were heard or are announced, without those that said
// that they leave.
func (f performDuties) known(s *State) (out []string) {
	for name := range s.addresses {
		if name != s.settings.Instance && !s.duties.left[name] {
			out = append(out, string(name))
		}
	}
	return out
}

// ready reports whether a window that has ended can be reported: all routers that are heard
// or announced have sent their counts of it, or it cannot wait for them.
func (f performDuties) ready(s *State, w int64, routers []string, boot, at, takenAt time.Duration, isolated bool) bool {
	end := time.Duration(w+1) * s.settings.Duties.Window
	if !isolated && boot >= takenAt+gatherTime && s.duties.ledger.Complete(end, append(s.duties.ledger.Routers(w), routers...)) {
		return true
	}
	limit := end + s.settings.Duties.Delay/2
	taken := takenAt + at - boot
	if gathered := taken + gatherTime; gathered > limit {
		limit = gathered
	}
	return at >= limit
}

// takeoverRank returns the weight of a router in the order in which routers take over the
// duties.
func takeoverRank(name model.InstanceID) uint64 {
	return xxhash.Sum64String("duties\x00" + string(name))
}
