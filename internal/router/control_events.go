package router

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admission"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/mesh"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// Events of the control loop.
type (
	// ordersRead carries orders and the boot time at which their read was sent.
	ordersRead struct {
		orders   Orders
		current  bool // all current orders rather than changes
		sent     time.Duration
		position Position // after the orders
		// delta leads to the configuration of orders from the one before it, for the
		// peers that this router supplies; nil if there is none.
		delta *ConfigDelta
	}
	// listRead carries the instance list and the boot time at which its read was
	// sent.
	listRead struct {
		list place.List
		era  int64 // of the store that listed it
		sent time.Duration
	}
	// listReadFailed is posted if the instance list could not be read.
	listReadFailed struct{ sent time.Duration }
	// listHoldEnded is posted when endpoints that are missing after a failed read need not be
	// kept any longer.
	listHoldEnded struct{}
	// membersRead carries the routers whose announcements have not expired.
	membersRead struct{ routers []Member }
	// settingsRead carries the settings of a changed file.
	settingsRead struct{ settings Settings }
	// phaseChanged starts the next phase of a planned stop.
	phaseChanged struct{ phase Phase }
	// pickEndpoint asks for an endpoint.
	pickEndpoint struct {
		control.Question[pickReply]
		query place.Query
	}
	// alternativeQuery asks whether another endpoint may take over a request, and whether
	// the retry budget would allow that.
	alternativeQuery struct {
		control.Question[bool]
		query place.Query
	}
	// requestEnded reports the result of a placed request.
	requestEnded struct {
		endpoint    model.EndpointID
		result      place.Result
		pendingPart uint64
	}
	// loadStated carries the load and the limit that an endpoint stated in an answer.
	loadStated struct {
		endpoint model.EndpointID
		load     place.StatedLoad
		limit    float64 // requests a second of all routers; negative if not stated
	}
	// answerTimed carries the times of a complete answer.
	answerTimed struct {
		endpoint model.EndpointID
		times    place.AnswerTime
	}
	// noticeSeen says that an endpoint stated in an answer that it leaves, or that it
	// wants no requests of this router for the time turnAway.
	noticeSeen struct {
		endpoint model.EndpointID
		leaving  bool
		turnAway time.Duration
	}
	// crashSeen says that an endpoint crashed while it ran a request, or may have, if that
	// is not certain.
	crashSeen struct {
		failure suspect.Failure
		certain bool
	}
	// causesSound carries properties of a request that was answered.
	causesSound struct{ causes []uint64 }
	// suspectsRead carries the refused properties that the store holds.
	suspectsRead struct{ records []suspect.Record }
	// crashReportsRead carries reports of routers on crashes. live says that they were read
	// as they came, rather than at the start or after a gap.
	crashReportsRead struct {
		reports []suspect.Report
		live    bool
	}
	// trialAsked asks whether a request with refused properties is due to be sent.
	trialAsked struct {
		control.Question[trialReply]
		causes []uint64
	}
	// requestArrived counts a request towards the retry budget of a pool.
	requestArrived struct{ pool model.Pool }
	// allowRetry takes a retry from the retry budget of a pool. The reply is false
	// if there was none left.
	allowRetry struct {
		control.Question[bool]
		pool     model.Pool
		priority int
		resumed  bool // the answer has begun
	}
	// peerMessage carries a datagram of a peer.
	peerMessage struct {
		name  string
		at    exchangeAddress
		loads map[uint32]int
		// statedLoads are loads that endpoints stated to the peer.
		statedLoads map[uint32]int
		limits      map[uint32]float64 // that endpoints stated to the peer
		workTimes   map[uint32]float64 // the same, relative to the usual ones
		crashes     []mesh.Crash
		sound       []uint64 // properties of requests that were answered
		holders     []place.PartHolder
		leaving     bool
		// holdersKnown says that the sender knows the holders from before its start.
		holdersKnown bool
		cachesRead   []uint32 // engines whose caches the sender has read since its start
		demand       []admission.Report
		slots        *mesh.Slots
	}
	// cacheRead carries the prompt parts in the cache of one engine.
	cacheRead struct {
		engine  uint32
		holders []place.PartHolder
	}
	// holderSearchEnded ends the search for holders from before the start.
	holderSearchEnded struct{}
	// cachesQuery asks which engines' caches are still to be read.
	cachesQuery struct{ control.Question[cachesReply] }
	// storeReadersQuery asks for the routers that can be store readers, with their
	// exchange addresses.
	storeReadersQuery struct {
		control.Question[map[model.InstanceID]exchangeAddress]
	}
	// peerReportQuery asks for the state that this router sends to its peers.
	peerReportQuery struct {
		control.Question[peerReport]
		maxHolders int // maximum number of holders in the reply
	}
)

func (ordersRead) EventName() string        { return "orders_read" }
func (listRead) EventName() string          { return "list_read" }
func (listReadFailed) EventName() string    { return "list_lost" }
func (membersRead) EventName() string       { return "members_read" }
func (listHoldEnded) EventName() string     { return "list_hold_ended" }
func (settingsRead) EventName() string      { return "settings_read" }
func (phaseChanged) EventName() string      { return "phase_changed" }
func (pickEndpoint) EventName() string      { return "pick_endpoint" }
func (alternativeQuery) EventName() string  { return "alternative_asked" }
func (requestEnded) EventName() string      { return "request_ended" }
func (answerTimed) EventName() string       { return "answer_timed" }
func (noticeSeen) EventName() string        { return "notice_seen" }
func (crashSeen) EventName() string         { return "crash_seen" }
func (causesSound) EventName() string       { return "causes_sound" }
func (suspectsRead) EventName() string      { return "suspects_read" }
func (crashReportsRead) EventName() string  { return "crash_reports_read" }
func (trialAsked) EventName() string        { return "trial_asked" }
func (loadStated) EventName() string        { return "load_stated" }
func (requestArrived) EventName() string    { return "request_came" }
func (allowRetry) EventName() string        { return "may_repeat" }
func (peerMessage) EventName() string       { return "peer_heard" }
func (cacheRead) EventName() string         { return "caches_read" }
func (holderSearchEnded) EventName() string { return "holders_known" }
func (cachesQuery) EventName() string       { return "caches_asked" }
func (storeReadersQuery) EventName() string { return "readers_asked" }
func (peerReportQuery) EventName() string   { return "loads_asked" }

// maxRouters bounds the routers whose messages are applied, since any host can send
// messages with any name. It is far above the 370 of the target size.
const maxRouters = 2048

// exchangeAddress is where the exchange of a router is reached.
type exchangeAddress struct {
	address    string // ip:port, UDP and TCP
	dataCentre model.DataCentre
}

// trialReply is the reply to trialAsked: the records with which to claim the trial.
type trialReply struct {
	records []suspect.Record
	due     bool
	era     int64 // of the store, as the records are based on it
}

// pickReply is the reply to pickEndpoint.
type pickReply struct {
	choice place.Choice
	found  bool
	// turnedAway is the time until an endpoint of the pool accepts requests of this
	// router again, if all have turned it away or limit its requests.
	turnedAway time.Duration
}

// cachesReply is the reply to cachesQuery.
type cachesReply struct {
	engines      []place.Endpoint   // engines whose caches no router has read yet
	routers      []model.InstanceID // routers whose announcements have not expired
	livePeers    []model.InstanceID
	holdersKnown bool // the holders need no further search
}

// peerReport is the reply to peerReportQuery.
type peerReport struct {
	loads        map[uint32]int
	holders      []place.PartHolder
	holdersKnown bool
	cachesRead   []uint32
	crashes      []mesh.Crash
	limits       map[uint32]float64
}
