package router

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/retry"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// Phase is the phase of a planned stop.
type Phase int

// The phases of a planned stop.
const (
	Serving  Phase = iota
	Leaving        // not ready; requests are served, and connections closed after their answers
	Refusing       // new requests are refused as not run
)

// State is the control state, which the control goroutine owns.
type State struct {
	settings     Settings
	table        *place.Table
	catalog      *catalog.Catalog
	evacuated    map[model.DataCentre]bool
	rollouts     map[model.Pool]model.Version // versions whose roll-out is ordered
	windows      map[model.Pool]time.Duration // from the orders of rollouts to their deadlines
	runs         rolloutRuns
	confirmed    time.Duration   // boot time at which the last successful read of the orders was sent
	listed       bool            // an instance list has arrived
	holdersKnown bool            // the holders from before the start are known, or their search has ended
	cachesRead   map[uint32]bool // engines whose caches some router has read since the start
	phase        Phase
	causes       *suspect.Causes   // properties of requests that were met at crashes
	causeView    suspect.CauseView // of causes
	// pending are the properties of failures; replaced, not modified, at most each
	// pendingViewInterval.
	pending        map[uint64]bool
	pendingViewed  time.Time
	pendingChanged bool
	failures       suspect.Failures // attempts at endpoints that may have crashed
	observed       suspect.Observed // what this router reports of crashes
	retryWindows   map[model.Pool]*retry.Window
	admission      *admissionState                      // nil if the deployment does not call for it
	position       Position                             // after the last order that was read
	held           heldOrders                           // in force although the store lacks them
	era            int64                                // of the store; 0 if it is not known
	restoredAt     time.Time                            // when this router learned that the store was restored
	config         []byte                               // encoding of catalog
	configHash     uint64                               // hash of config
	deltas         []ConfigDelta                        // the last changes of config, for the peers
	list           place.List                           // the latest instance list
	history        place.History                        // the last changes of list
	listSent       time.Duration                        // boot time at which the read of list was sent
	listEra        int64                                // of the store that listed it
	listSince      int64                                // era of the first list of this process
	departed       map[model.EndpointID]departure       // endpoints that left list lately; replaced, not modified
	addresses      map[model.InstanceID]exchangeAddress // of the peers
	members        []model.InstanceID                   // routers whose announcements have not expired, this one included
	slots          map[model.Pool]*slotPool             // with few slots, to which requests were sent
	slotTickets    uint64                               // number of attempts that asked for a slot
	peersUnheard   int                                  // announced routers that were not heard, as logged last
	peersWatched   time.Time                            // when that was logged, or first checked
	duties         *dutyState
}

// Snapshot is the part of the state that other goroutines read. It is immutable.
type Snapshot struct {
	Settings  Settings
	Catalog   *catalog.Catalog // nil before the first one
	Confirmed time.Duration    // boot time at which Catalog was known to be in force
	Listed    bool             // an instance list has arrived
	Phase     Phase
	causes    suspect.CauseView
	pending   map[uint64]bool // properties of failures that may turn out to be crashes
	// The state of the store, from which peers that use this router as store reader
	// are answered.
	Position   Position
	config     []byte
	configHash uint64
	deltas     []ConfigDelta
	evacuated  map[model.DataCentre]bool // the data centres that are out of service
	rollouts   map[model.Pool]model.Version
	windows    map[model.Pool]time.Duration
	List       place.List
	History    place.History
	ListSent   time.Duration
	ListEra    int64                          // of the store that listed List
	ListSince  int64                          // era of the first list of this process
	departed   map[model.EndpointID]departure // endpoints that left List lately
	restoredAt time.Time                      // when this router learned that the store was restored; zero if it was not
}

func newState(s Settings) *State {
	state := &State{settings: s, holdersKnown: s.FirstStart, cachesRead: map[uint32]bool{}, table: place.New(s.Instance, s.DataCentre), causes: suspect.NewCauses(), evacuated: map[model.DataCentre]bool{}, rollouts: map[model.Pool]model.Version{}, windows: map[model.Pool]time.Duration{}, runs: newRolloutRuns(),
		addresses: map[model.InstanceID]exchangeAddress{}, retryWindows: map[model.Pool]*retry.Window{}, slots: map[model.Pool]*slotPool{}, duties: newDutyState(s)}
	state.table.SetLocality(s.Price)
	return state
}

// publish returns the snapshot of the state.
func publish(s *State, _ time.Time) *Snapshot {
	return &Snapshot{Settings: s.settings, Catalog: s.catalog, Confirmed: s.confirmed, Listed: s.listed, Phase: s.phase, causes: s.causeView, pending: s.pending,
		Position: s.position, config: s.config, configHash: s.configHash, deltas: s.deltas, evacuated: s.evacuated, rollouts: s.rollouts, windows: s.windows, List: s.list, History: s.history, ListSent: s.listSent, ListEra: s.listEra, ListSince: s.listSince, departed: s.departed, restoredAt: s.restoredAt}
}
