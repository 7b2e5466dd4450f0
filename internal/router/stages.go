package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/retry"
)

// Events of the control loop.
type (
	// ordersRead brings orders and the boot time at which their read was sent.
	ordersRead struct {
		orders   Orders
		standing bool // the orders are all that stand, not only changes
		sent     time.Duration
		position int64 // behind the orders
	}
	// listRead brings the instance list and the boot time at which its read was
	// sent.
	listRead struct {
		list place.List
		sent time.Duration
	}
	// listLost tells that the instance list could not be read.
	listLost struct{}
	// membersRead brings the routers that announced themselves lately.
	membersRead struct{ routers []model.InstanceID }
	// settingsRead brings the settings of a file that changed.
	settingsRead struct{ settings Settings }
	// phaseChanged moves a planned stop on.
	phaseChanged struct{ phase Phase }
	// pickEndpoint asks for an endpoint.
	pickEndpoint struct {
		control.Question[picked]
		query place.Query
	}
	// requestEnded tells how a placed request ended.
	requestEnded struct {
		endpoint model.EndpointID
		result   place.Result
		unread   uint64
	}
	// requestCame counts a request of a pool.
	requestCame struct{ pool model.Pool }
	// mayRepeat asks the retry budget for one more attempt.
	mayRepeat struct {
		control.Question[bool]
		pool model.Pool
	}
	// peerHeard brings what another router said.
	peerHeard struct {
		name    string
		address string // of its exchange
		loads   map[uint32]int
		holders []place.PartHolder
		leaving bool
		// complete says that the sender knew the holders of before its start.
		complete bool
		read     []uint32 // engines whose caches it read since its start
	}
	// cachesRead brings what one engine holds.
	cachesRead struct {
		engine  uint32
		holders []place.PartHolder
	}
	// holdersKnown ends the search for the holders of before the start.
	holdersKnown struct{}
	// cachesAsked asks which engines' caches are to be read.
	cachesAsked struct{ control.Question[cachesToRead] }
	// readersAsked asks for the routers that may read the store for others, with
	// the addresses of their exchange.
	readersAsked struct {
		control.Question[map[model.InstanceID]string]
	}
	// loadsAsked asks for what this router tells the others.
	loadsAsked struct {
		control.Question[told]
		holders int // prompt parts to name at most
	}
)

func (ordersRead) EventName() string   { return "orders_read" }
func (listRead) EventName() string     { return "list_read" }
func (listLost) EventName() string     { return "list_lost" }
func (membersRead) EventName() string  { return "members_read" }
func (settingsRead) EventName() string { return "settings_read" }
func (phaseChanged) EventName() string { return "phase_changed" }
func (pickEndpoint) EventName() string { return "pick_endpoint" }
func (requestEnded) EventName() string { return "request_ended" }
func (requestCame) EventName() string  { return "request_came" }
func (mayRepeat) EventName() string    { return "may_repeat" }
func (peerHeard) EventName() string    { return "peer_heard" }
func (cachesRead) EventName() string   { return "caches_read" }
func (holdersKnown) EventName() string { return "holders_known" }
func (cachesAsked) EventName() string  { return "caches_asked" }
func (readersAsked) EventName() string { return "readers_asked" }
func (loadsAsked) EventName() string   { return "loads_asked" }

// picked is the answer to pickEndpoint.
type picked struct {
	choice place.Choice
	found  bool
}

// cachesToRead is the answer to cachesAsked.
type cachesToRead struct {
	engines []place.Endpoint // those that nobody read yet
	routers []model.InstanceID
	heard   []model.InstanceID // of these, those that run
	known   bool               // another router told who holds which part
}

// told is what a router tells the others.
type told struct {
	loads    map[uint32]int
	holders  []place.PartHolder
	complete bool
	read     []uint32
}

// foldOrders keeps the newest configuration and the evacuations. A
// configuration that is older than the one in force is ignored.
type foldOrders struct{ log *slog.Logger }

func (foldOrders) Name() string { return "orders" }

func (f foldOrders) Apply(s *State, _ time.Time, ev control.Event) bool {
	e, ok := ev.(ordersRead)
	if !ok {
		return false
	}
	s.confirmed, s.position = max(s.confirmed, e.sent), max(s.position, e.position)
	if c := e.orders.Catalog; c != nil && (s.catalog == nil || c.Version > s.catalog.Version) {
		f.log.Info("configuration in force", "version", c.Version, "routes", c.Routes(), "pools", len(c.Pools))
		s.catalog = c
		s.table.SetPools(c.Pools)
	}
	f.evacuate(s, e)
	return true
}

func (f foldOrders) evacuate(s *State, e ordersRead) {
	next := maps.Clone(s.evacuated)
	if e.standing {
		clear(next)
	}
	for dc, out := range e.orders.Evacuated {
		if out {
			next[dc] = true
		} else {
			delete(next, dc)
		}
	}
	if maps.Equal(next, s.evacuated) {
		return
	}
	f.log.Info("data centres out of service", "before", len(s.evacuated), "now", len(next))
	s.evacuated = next
	s.table.SetEvacuated(next)
}

// foldList takes the instance list.
type foldList struct{ log *slog.Logger }

func (foldList) Name() string { return "list" }

func (f foldList) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case listRead:
		if e.sent < s.listSent {
			return false // older than what is known
		}
		s.listSent = e.sent
		if s.listed && e.list.Hash == s.list.Hash {
			f.went(s.table.ExpireMissing(now))
			return true
		}
		s.trail = s.trail.Add(s.list, e.list)
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
		f.went(changes.Removed)
		return true
	case listLost:
		s.table.RecordStoreOutage(now)
	case membersRead:
		s.members = e.routers
		s.table.SetAnnounced(e.routers)
	}
	return false
}

func (f foldList) went(endpoints []model.EndpointID) {
	for _, id := range endpoints {
		f.log.Info("endpoint no longer listed", "endpoint", id)
	}
}

// placeRequests answers which endpoint runs a request.
type placeRequests struct{ log *slog.Logger }

func (placeRequests) Name() string { return "place" }

func (f placeRequests) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case pickEndpoint:
		c, ok := s.table.Pick(now, e.query)
		e.Reply(picked{choice: c, found: ok})
	case requestEnded:
		if pause := s.table.Complete(now, e.endpoint, e.result, e.unread); pause > 0 {
			f.log.Info("endpoint passed over", "endpoint", e.endpoint, "cause", resultNames[e.result], "for_ms", pause.Milliseconds())
		}
	}
	return false
}

// budgetRepeats keeps the retry budget of each pool.
type budgetRepeats struct{}

func (budgetRepeats) Name() string { return "retry" }

func (budgetRepeats) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case requestCame:
		window(s, e.pool).AddRequest(now)
	case mayRepeat:
		e.Reply(window(s, e.pool).AllowRetry(now, s.settings.RetryRatio, s.settings.RetryBurst, s.table.Entries(now)))
	}
	return false
}

func window(s *State, pool model.Pool) *retry.Window {
	w := s.windows[pool]
	if w == nil {
		w = retry.NewWindow(s.settings.RetryWindow)
		s.windows[pool] = w
	}
	return w
}

// foldPeers takes what other routers say and answers what they are told.
type foldPeers struct{ log *slog.Logger }

func (foldPeers) Name() string { return "peers" }

func (f foldPeers) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case peerHeard:
		s.addresses[model.InstanceID(e.name)] = e.address
		if e.leaving {
			s.table.DropPeer(e.name)
			f.log.Info("router left", "router", e.name)
			return false
		}
		if e.complete && !s.complete {
			s.complete = true
			f.log.Info("holders told by another router", "router", e.name)
		}
		if s.table.UpdatePeerLoads(now, e.name, e.loads) {
			f.log.Info("router heard", "router", e.name)
		}
		for _, h := range e.holders {
			s.table.AddHolder(now, h.Part, h.Endpoint)
		}
		for _, engine := range e.read {
			s.read[engine] = true
		}
	case cachesRead:
		for _, h := range e.holders {
			s.table.AddHolder(now, h.Part, h.Endpoint)
		}
		s.read[e.engine] = true
	case holdersKnown:
		s.complete = true
	case cachesAsked:
		e.Reply(cachesToRead{engines: unread(s), routers: s.members, heard: s.table.LivePeers(now), known: s.complete})
	case readersAsked:
		e.Reply(f.readers(s, now))
	case loadsAsked:
		t := told{loads: s.table.Loads(), complete: s.complete, read: slices.Collect(maps.Keys(s.read))}
		if e.holders > 0 {
			t.holders = s.table.Holders(e.holders)
		}
		e.Reply(t)
	}
	return false
}

// readers returns this router and those that are heard with a known address.
func (f foldPeers) readers(s *State, now time.Time) map[model.InstanceID]string {
	out := map[model.InstanceID]string{s.settings.Instance: s.settings.Exchange}
	for _, name := range s.table.LivePeers(now) {
		if a, ok := s.addresses[name]; ok {
			out[name] = a
		}
	}
	return out
}

// unread returns the engines whose caches nobody read.
func unread(s *State) []place.Endpoint {
	return slices.DeleteFunc(s.table.Engines(), func(e place.Endpoint) bool { return s.read[place.EndpointHash(e.ID)] })
}

// stop moves a planned stop on.
type stop struct{ log *slog.Logger }

func (stop) Name() string { return "stop" }

func (f stop) Apply(s *State, _ time.Time, ev control.Event) bool {
	e, ok := ev.(phaseChanged)
	if !ok || e.phase <= s.phase {
		return false
	}
	s.phase = e.phase
	f.log.Info("planned stop", "phase", int(e.phase))
	return true
}

// reload puts changed settings in force. Addresses stay as they were at the
// start.
type reload struct{ log *slog.Logger }

func (reload) Name() string { return "reload" }

func (f reload) Apply(s *State, _ time.Time, ev control.Event) bool {
	e, ok := ev.(settingsRead)
	if !ok {
		return false
	}
	s.settings = e.settings
	f.log.Info("settings reloaded")
	return true
}
