package router

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/retry"
)

// Phase is how far a planned stop is.
type Phase int

// The phases of a planned stop.
const (
	Serving  Phase = iota
	Leaving        // not ready; requests are served and their connections closed
	Refusing       // new requests are refused as not run
)

// State is the control state. The control goroutine owns it.
type State struct {
	settings  Settings
	table     *place.Table
	catalog   *catalog.Catalog
	evacuated map[model.DataCentre]bool
	confirmed time.Duration   // boot time at which the last successful read of the orders was sent
	listed    bool            // an instance list has arrived
	complete  bool            // the holders of before the start are known
	read      map[uint32]bool // engines whose caches some router read since the start
	phase     Phase
	windows   map[model.Pool]*retry.Window
	position  int64                       // behind the orders that were read
	list      place.List                  // the instance list as it was read last
	trail     place.History               // its last changes
	listSent  time.Duration               // boot time at which its read was sent
	addresses map[model.InstanceID]string // of the exchange of other routers
	members   []model.InstanceID          // routers that announced themselves lately
}

// Snapshot is what traffic reads. Nobody changes it.
type Snapshot struct {
	Settings  Settings
	Catalog   *catalog.Catalog // nil before the first one
	Confirmed time.Duration    // boot time as of which Catalog is known to be in force
	Listed    bool
	Phase     Phase
	// What other routers are told of the store.
	Position int64
	List     place.List
	Trail    place.History
	ListSent time.Duration
}

func newState(s Settings) *State {
	return &State{settings: s, complete: s.FirstStart, read: map[uint32]bool{}, table: place.New(s.Instance, s.DataCentre), evacuated: map[model.DataCentre]bool{},
		addresses: map[model.InstanceID]string{}, windows: map[model.Pool]*retry.Window{}}
}

func publish(s *State, _ time.Time) *Snapshot {
	return &Snapshot{Settings: s.settings, Catalog: s.catalog, Confirmed: s.confirmed, Listed: s.listed, Phase: s.phase,
		Position: s.position, List: s.list, Trail: s.trail, ListSent: s.listSent}
}
