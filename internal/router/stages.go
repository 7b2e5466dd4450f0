package router

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/mesh"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/retry"
)

// applyOrders applies the operators' orders: the configuration, unless it is older
// than the one in force, and the evacuations.
type applyOrders struct{ log *slog.Logger }

func (applyOrders) Name() string { return "orders" }

func (f applyOrders) Apply(s *State, now time.Time, ev control.Event) bool {
	e, ok := ev.(ordersRead)
	if !ok {
		return false
	}
	e = f.holdOrders(s, now, e)
	s.confirmed = max(s.confirmed, e.sent)
	if e.position.After(s.position) {
		s.position = e.position
	}
	if c := e.orders.Catalog; c != nil && (s.catalog == nil || c.Version > s.catalog.Version) {
		f.log.Info("configuration in force", "version", c.Version, "routes", c.Routes(), "pools", len(c.Pools))
		s.catalog, s.config, s.configHash = c, e.orders.Config, configHash(e.orders.Config)
		if e.delta != nil {
			s.deltas = addDelta(s.deltas, *e.delta)
		}
		s.table.SetPools(c.Pools)
	}
	f.applyEvacuations(s, e)
	f.applyRollouts(s, e)
	return true
}

// applyRollouts updates the versions whose roll-out is ordered. They get no requests until
// the stage carryOutRollouts decides otherwise.
func (f applyOrders) applyRollouts(s *State, e ordersRead) {
	next, windows := maps.Clone(s.rollouts), maps.Clone(s.windows)
	if e.current {
		clear(next)
		clear(windows)
	}
	maps.Copy(windows, e.orders.RolloutWindows)
	for pool, version := range e.orders.Rollouts {
		if _, held := s.held.rollouts[pool]; held {
			continue
		}
		if version != "" {
			next[pool] = version
		} else {
			delete(next, pool)
		}
	}
	for pool, version := range s.held.rollouts {
		next[pool], windows[pool] = version, s.windows[pool]
	}
	if maps.Equal(next, s.rollouts) && maps.Equal(windows, s.windows) {
		return
	}
	s.windows = windows
	for pool, version := range next {
		if s.rollouts[pool] != version {
			f.log.Warn("roll-out ordered, the version gets no requests", "pool", pool, "version", version)
		}
	}
	s.rollouts = next
	s.table.SetHeldVersions(next)
}

// applyEvacuations updates the set of data centres that are out of service.
func (f applyOrders) applyEvacuations(s *State, e ordersRead) {
	next := maps.Clone(s.evacuated)
	if e.current {
		clear(next)
	}
	for dc, out := range e.orders.Evacuated {
		if out {
			next[dc] = true
		} else {
			delete(next, dc)
		}
	}
	maps.Copy(next, s.held.evacuated)
	if maps.Equal(next, s.evacuated) {
		return
	}
	f.log.Info("data centres out of service", "before", len(s.evacuated), "now", len(next))
	s.evacuated = next
	s.table.SetEvacuated(next)
}

// applyList applies the instance list and the list of announced routers.
type applyList struct {
	expireLater func(time.Duration) // posts listHoldEnded after a time; must not block
	log         *slog.Logger
}

func (applyList) Name() string { return "list" }

func (f applyList) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case listRead:
		if e.sent < s.listSent {
			return false // older than the current list
		}
		s.listSent, s.listEra = e.sent, e.era
		s.listSince = cmp.Or(s.listSince, e.era)
		if s.listed && e.list.Hash == s.list.Hash {
			s.table.RecordStoreRead(now)
			f.logRemoved(s.table.ExpireMissing(now))
			return true
		}
		s.history = s.history.Add(s.list, e.list)
		s.departed = recordDepartures(s.departed, now, s.list, e.list, e.era)
		s.list, s.listed = e.list, true
		changes := s.table.SetEndpoints(now, e.list.Endpoints)
		for _, id := range changes.Added {
			ep, _ := s.table.Lookup(id)
			f.log.Info("endpoint listed", "endpoint", id, "pool", ep.Pool, "data_centre", ep.DataCentre,
				"version", ep.Version, "draining", ep.Draining, "cold_left_ms", ep.ColdLeft.Milliseconds())
		}
		for _, id := range changes.Leaving {
			f.log.Info("endpoint leaves", "endpoint", id)
		}
		f.logRemoved(changes.Removed)
		if next := s.table.NextExpiry(); !next.IsZero() {
			f.expireLater(next.Sub(now))
		}
		return true
	case listReadFailed:
		// A read that began before the current list shows no outage after it.
		if e.sent >= s.listSent {
			s.table.RecordStoreOutage()
		}
	case listHoldEnded:
		f.logRemoved(s.table.ExpireMissing(now))
		return true
	case membersRead:
		f.applyMembers(s, now, e.routers)
	}
	return false
}

// applyMembers replaces the list of announced routers and drops the addresses of
// routers that are neither announced nor live.
func (applyList) applyMembers(s *State, now time.Time, members []Member) {
	addresses := map[model.InstanceID]exchangeAddress{}
	for _, name := range s.table.LivePeers(now) {
		if at, ok := s.addresses[name]; ok {
			addresses[name] = at
		}
	}
	s.members = nil
	for _, m := range members {
		s.members = append(s.members, m.Instance)
		if _, live := addresses[m.Instance]; !live {
			addresses[m.Instance] = exchangeAddress{m.Address, m.DataCentre}
		}
	}
	s.addresses = addresses
	s.table.SetAnnounced(s.members)
}

// logRemoved logs the endpoints that were removed from the table.
func (f applyList) logRemoved(endpoints []model.EndpointID) {
	for _, id := range endpoints {
		f.log.Info("endpoint no longer listed", "endpoint", id)
	}
}

// placeRequests picks the endpoints of requests and records their results.
type placeRequests struct {
	broadcast func(mesh.Message) // must not block
	log       *slog.Logger
}

func (placeRequests) Name() string { return "place" }

func (f placeRequests) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case pickEndpoint:
		c, ok := s.table.Pick(now, e.query)
		reply := pickReply{choice: c, found: ok}
		f.logSpill(c.Spill)
		if !ok {
			reply.turnedAway = s.table.TurnedAway(now, e.query.Pool)
		}
		e.Reply(reply)
	case alternativeQuery:
		budget := retryWindow(s, e.query.Pool).HasRetry(now, s.settings.RetryRatio, s.settings.RetryBurst, s.table.Routers(now))
		e.Reply(budget && s.table.HasAlternative(now, e.query))
	case noticeSeen:
		if e.leaving && s.table.RecordLeaving(e.endpoint) {
			f.log.Info("endpoint says that it leaves", "endpoint", e.endpoint)
		}
		if e.turnAway > 0 {
			left := s.table.RecordTurnAway(now, e.endpoint, e.turnAway)
			f.log.Info("endpoint turned this router away", "endpoint", e.endpoint, "for_ms", left.Milliseconds())
		}
	case requestEnded:
		if backoff := s.table.Complete(now, e.endpoint, e.result, e.pendingPart); backoff > 0 {
			f.log.Info("endpoint passed over", "endpoint", e.endpoint, "cause", resultNames[e.result], "for_ms", backoff.Milliseconds())
		}
	case loadStated:
		f.applyStated(s, now, e)
	case answerTimed:
		s.table.RecordAnswerTime(now, e.endpoint, e.times)
	}
	return false
}

// applyStated applies what an endpoint stated about its load and its limit, and notifies
// the peers of what they may not know.
func (f placeRequests) applyStated(s *State, now time.Time, e loadStated) {
	if e.load.Known {
		if hash, atBound := s.table.RecordStatedLoad(now, e.endpoint, e.load); atBound {
			f.log.Info("endpoint at its load bound", "endpoint", e.endpoint, "load", e.load.Requests())
			f.broadcast(mesh.Message{StatedLoads: map[uint32]int{hash: e.load.Requests()}})
		}
	}
	if e.load.WorkTime > 0 {
		f.applyWorkTime(s, now, e.endpoint)
	}
	hash, changed, tell := s.table.RecordStatedLimit(now, e.endpoint, e.limit)
	if changed && e.limit >= 0 {
		f.log.Info("endpoint limits its requests", "endpoint", e.endpoint, "per_second", e.limit)
	} else if changed {
		f.log.Info("endpoint no longer limits its requests", "endpoint", e.endpoint)
	}
	if tell {
		f.broadcast(mesh.Message{Limits: map[uint32]float64{hash: e.limit}})
	}
}

// logSpill logs that requests of a pool begin to go to other data centres, or end to.
func (f placeRequests) logSpill(c *place.SpillChange) {
	if c == nil {
		return
	}
	local, remote := c.View.Local, c.View.Remote
	figures := []any{"pool", c.Pool, "local_delay_ms", local.Delay, "remote_delay_ms", remote.Delay, "local_load", local.MeanLoad(), "remote_load", remote.MeanLoad(), "bound", c.View.Bound}
	if c.Started {
		f.log.Info("requests go to other data centres", figures...)
	} else {
		f.log.Info("requests stay in their data centre again", figures...)
	}
}

// applyWorkTime notifies the peers of an endpoint that became slow, or usual again.
func (f placeRequests) applyWorkTime(s *State, now time.Time, id model.EndpointID) {
	hash, figure, changed, tell := s.table.WorkTimeNotice(now, id)
	if changed {
		f.log.Info("work time of endpoint changed", "endpoint", id, "work_time", figure)
	}
	if tell {
		f.broadcast(mesh.Message{WorkTimes: map[uint32]float64{hash: figure}})
	}
}

// budgetRetries keeps the retry budget of each pool.
type budgetRetries struct{}

func (budgetRetries) Name() string { return "retry" }

func (budgetRetries) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case requestArrived:
		retryWindow(s, e.pool).AddRequest(now)
	case allowRetry:
		if s.admission != nil && !e.resumed && !s.admission.AllowRetry(now, e.pool, e.priority) {
			retriesShed.Inc()
			e.Reply(false)
			return false
		}
		e.Reply(retryWindow(s, e.pool).AllowRetry(now, s.settings.RetryRatio, s.settings.RetryBurst, s.table.Routers(now)))
	}
	return false
}

// retryWindow returns the window of a pool and creates it if there is none yet.
func retryWindow(s *State, pool model.Pool) *retry.Window {
	w := s.retryWindows[pool]
	if w == nil {
		w = retry.NewWindow(s.settings.RetryWindow)
		s.retryWindows[pool] = w
	}
	w.SetDuration(s.settings.RetryWindow)
	return w
}

// applyPeers applies the messages of peers and the caches of engines, and answers
// the queries of the sources that exchange data with peers.
type applyPeers struct{ log *slog.Logger }

func (applyPeers) Name() string { return "peers" }

func (f applyPeers) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case peerMessage:
		name := model.InstanceID(e.name)
		if _, known := s.addresses[name]; !known && len(s.addresses) >= maxRouters {
			return false
		}
		s.addresses[name] = e.at
		if e.leaving {
			s.table.DropPeer(e.name)
			f.log.Info("router left", "router", e.name)
			return false
		}
		if e.holdersKnown && !s.holdersKnown {
			s.holdersKnown = true
			f.log.Info("holders told by another router", "router", e.name)
		}
		if s.table.UpdatePeerLoads(now, e.name, e.loads) {
			f.log.Info("router heard", "router", e.name)
		}
		s.table.SetPeerDataCentre(e.name, e.at.dataCentre)
		for endpoint, load := range e.statedLoads {
			s.table.ApplyStatedLoad(now, endpoint, load)
		}
		for endpoint, limit := range e.limits {
			s.table.ApplyStatedLimit(now, endpoint, limit)
		}
		for endpoint, figure := range e.workTimes {
			s.table.ApplyWorkTime(now, endpoint, figure)
		}
		for _, h := range e.holders {
			s.table.AddHolder(now, h.Part, h.Endpoint)
		}
		for _, engine := range e.cachesRead {
			s.cachesRead[engine] = true
		}
	case cacheRead:
		for _, h := range e.holders {
			s.table.AddHolder(now, h.Part, h.Endpoint)
		}
		s.cachesRead[e.engine] = true
	case holderSearchEnded:
		s.holdersKnown = true
	case cachesQuery:
		e.Reply(cachesReply{engines: enginesToRead(s), routers: s.members, livePeers: s.table.LivePeers(now), holdersKnown: s.holdersKnown})
	case storeReadersQuery:
		e.Reply(f.readers(s, now))
	case peerReportQuery:
		f.watchPeers(s, now)
		report := peerReport{loads: s.table.Loads(), holdersKnown: s.holdersKnown, cachesRead: slices.Collect(maps.Keys(s.cachesRead))}
		if e.maxHolders > 0 {
			report.holders = s.table.Holders(e.maxHolders)
			report.crashes = agesOf(s.causes.Crashes(0), now)
			report.limits = s.table.Limits(now)
		}
		e.Reply(report)
	}
	return false
}

// readers returns the exchange addresses of this router and of the live peers, and
// while it has no instance list, of all announced routers: those that start together
// have not heard each other yet.
func (f applyPeers) readers(s *State, now time.Time) map[model.InstanceID]exchangeAddress {
	out := map[model.InstanceID]exchangeAddress{s.settings.Instance: {s.settings.Exchange, s.settings.DataCentre}}
	names := s.table.LivePeers(now)
	if !s.listed {
		names = append(names, s.members...)
	}
	for _, name := range names {
		if a, ok := s.addresses[name]; ok {
			out[name] = a
		}
	}
	return out
}

// peerWatchInterval is the shortest time between two log lines on the peers that are not
// heard. Peers that start together hear each other earlier.
const peerWatchInterval = 5 * time.Second

// watchPeers logs which announced routers are not heard, when their number has changed. A
// router that hears no peer learns nothing of what they know.
func (f applyPeers) watchPeers(s *State, now time.Time) {
	heard := s.table.LivePeers(now)
	// The list of announcements is read rarely, so it may lack routers that were heard since.
	unheard := slices.DeleteFunc(slices.Collect(maps.Keys(s.addresses)), func(name model.InstanceID) bool {
		return name == s.settings.Instance || slices.Contains(heard, name)
	})
	peersHeard.Set(float64(len(heard)))
	peersAnnounced.Set(float64(len(s.members)))
	if s.peersWatched.IsZero() {
		s.peersWatched = now
	}
	if len(unheard) == s.peersUnheard || now.Sub(s.peersWatched) < peerWatchInterval {
		return
	}
	s.peersWatched, s.peersUnheard = now, len(unheard)
	slices.Sort(unheard)
	f.log.Info("announced routers not heard", "count", len(unheard), "heard", len(heard), "first", unheard[:min(len(unheard), 5)])
}

// enginesToRead returns the engines whose caches no router has read yet.
func enginesToRead(s *State) []place.Endpoint {
	return slices.DeleteFunc(s.table.Engines(), func(e place.Endpoint) bool { return s.cachesRead[place.EndpointHash(e.ID)] })
}

// advanceStop applies the phases of a planned stop, which only advance.
type advanceStop struct{ log *slog.Logger }

func (advanceStop) Name() string { return "stop" }

func (f advanceStop) Apply(s *State, _ time.Time, ev control.Event) bool {
	e, ok := ev.(phaseChanged)
	if !ok || e.phase <= s.phase {
		return false
	}
	s.phase = e.phase
	f.log.Info("planned stop", "phase", int(e.phase))
	return true
}

// applySettings puts changed settings in force, but for those that wait for the next start.
type applySettings struct{ log *slog.Logger }

func (applySettings) Name() string { return "reload" }

func (f applySettings) Apply(s *State, _ time.Time, ev control.Event) bool {
	e, ok := ev.(settingsRead)
	if !ok {
		return false
	}
	var waiting []string
	s.settings, waiting = s.settings.reloaded(e.settings)
	s.table.SetLocality(s.settings.Price)
	f.log.Info("settings reloaded")
	if len(waiting) > 0 {
		f.log.Warn("changed settings take effect at the next start", "settings", waiting)
	}
	return true
}
