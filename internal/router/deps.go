package router

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/duty"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// Protocol translates between the router and the wire format of callers and
// endpoints.
type Protocol interface {
	// Decode returns the request in r. It does not read the body.
	Decode(r *http.Request) (*Request, error)
	// Refusal returns the status and header that encode a refusal for the caller.
	Refusal(r *model.Refusal) (status int, header http.Header)
	// OutboundHeader returns the header with which req is sent to its endpoint.
	// left is the time until the deadline.
	OutboundHeader(req *Request, left time.Duration) http.Header
	// AnswerMatches reports whether an answer with this header belongs to req.
	AnswerMatches(req *Request, h http.Header) bool
	// ClassifyResponse interprets the status and header of an endpoint's answer.
	ClassifyResponse(status int, h http.Header) ResponseClass
}

// ResponseClass is what the head of an endpoint's answer says about the request.
type ResponseClass struct {
	NotRun      bool // the endpoint did not run the request and will not run it
	Promise     bool // callers take the status as a promise that the request did not run
	Misdirected bool // the address now belongs to another endpoint
	Signed      bool // the answer carries the endpoint's signature
	Leaving     bool // the endpoint leaves and is to get no new requests
	// TurnAway is how long an endpoint that refused the request wants no others from
	// this router; 0 if it does not say.
	TurnAway time.Duration
	Load     place.StatedLoad
	// Limit is the number of requests a second that the endpoint says it takes from all
	// routers together; negative if it says nothing.
	Limit float64
}

// ErrIncomplete is returned if the store cannot return all changes since a
// position, because records were trimmed or there are too many. The caller has to
// read the full state instead.
var ErrIncomplete = eris.New("router: changes are incomplete")

// ErrRestored is returned if the store was restored from an older copy since the position of a
// call was read, or since the answer was sent. Nothing is known of the call.
var ErrRestored = eris.New("router: the store was restored from an older copy")

// Position is a position in a topic of the store. The era grows each time that the store is
// restored from an older copy, after which it gives out offsets again. It is one more than the
// store states, which may begin with 0, and 0 for a store that does not state it.
type Position struct{ Era, Offset int64 }

// After reports whether p is a later position than o.
func (p Position) After(o Position) bool {
	return p.Era > o.Era || p.Era == o.Era && p.Offset > o.Offset
}

// ErrConflict is returned if a record was not stored since another one was stored before.
var ErrConflict = eris.New("router: another record was stored before")

// Orders are the operators' orders: the configuration and the data centres that
// are out of service. A nil field leaves that part as it is.
type Orders struct {
	Catalog   *catalog.Catalog
	Evacuated map[model.DataCentre]bool // true if out of service
	// Rollouts are the versions to which pools are ordered to move; empty if the order
	// was removed.
	Rollouts map[model.Pool]model.Version
	// RolloutWindows are the times from these orders to their deadlines; none if an order
	// states none.
	RolloutWindows map[model.Pool]time.Duration
	Skipped        int // records that could not be decoded
	// Config is the encoding of Catalog as the store holds it, from which DecodeConfig
	// returns it; empty if Catalog is nil.
	Config []byte
}

// Member is the announcement that a router publishes in the store so that its
// peers find it.
type Member struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	Address    string    // ip:port of the exchange, UDP and TCP
	Seen       time.Time // time of the announcement by the member's clock
}

// Listing is the result of a read of the instance list.
type Listing struct {
	place.Delta          // relative to an empty list or to the requested position
	Skipped     int      // records that do not describe a usable endpoint
	Position    Position // after the last record that was read
}

// Store is the platform's store. Each call has its own timeout: without an answer
// it fails about a second after the time for which it was asked to wait.
// A call with a position returns ErrRestored if the store has been restored since.
type Store interface {
	// Eras returns a channel with the highest era that the answers of the store have had,
	// whenever it has grown. ObserveEra records the era that another router has seen: answers
	// of earlier ones then fail with ErrRestored.
	Eras() <-chan int64
	ObserveEra(era int64)
	// Endpoints returns the full instance list.
	Endpoints(ctx context.Context) (Listing, error)
	// EndpointChanges returns the changes of the instance list since a position,
	// or ErrIncomplete if it cannot return all of them.
	EndpointChanges(ctx context.Context, from Position) (Listing, error)
	// CurrentOrders returns all orders in force and the position after them.
	CurrentOrders(ctx context.Context) (Orders, Position, error)
	// OrderChanges returns the orders since a position and the position after
	// them. It waits up to wait for the first one and returns ErrIncomplete if it
	// cannot return all of them.
	OrderChanges(ctx context.Context, from Position, wait time.Duration) (Orders, Position, error)
	// DecodeConfig decodes Orders.Config, also that of another router.
	DecodeConfig(data []byte) (*catalog.Catalog, error)
	// Announce publishes m. Members returns the published members.
	Announce(ctx context.Context, m Member) error
	Members(ctx context.Context) ([]Member, error)
	// Suspects returns the records of all refused properties and the position after them.
	// PutSuspects stores records in place of those with the same keys, all or none. A
	// record without crashes removes the one with its key. It returns ErrConflict if one
	// was stored after position.
	Suspects(ctx context.Context) ([]suspect.Record, Position, error)
	PutSuspects(ctx context.Context, records []suspect.Record, position Position) error
	// ClaimTrial stores records with one more trial each, all or none: none if a stored
	// one has as many already. It returns the records that are stored then. It fails if
	// another router stores a record at the same time, and with ErrRestored if the store
	// has another era, since it may lack earlier claims.
	ClaimTrial(ctx context.Context, records []suspect.Record, era int64) (stored []suspect.Record, claimed bool, err error)
	// PutCrashReport stores what this router saw of crashes in place of its last report.
	// CrashReports returns the reports of all routers and the position after them.
	PutCrashReport(ctx context.Context, r suspect.Report) error
	CrashReports(ctx context.Context) ([]suspect.Report, Position, error)
	// CrashReportChanges returns the reports since a position and the position after
	// them. It waits up to wait for the first one and returns ErrIncomplete if it cannot
	// return all of them.
	CrashReportChanges(ctx context.Context, from Position, wait time.Duration) ([]suspect.Report, Position, error)
	// RolloutStatuses returns the status of the roll-out of each pool and the position
	// after them, RolloutStatusChanges those since a position, as CrashReportChanges does.
	RolloutStatuses(ctx context.Context) (map[model.Pool]RolloutStatus, Position, error)
	RolloutStatusChanges(ctx context.Context, from Position, wait time.Duration) (map[model.Pool]RolloutStatus, Position, error)
	// PutRolloutStatus stores the status of a pool. It returns ErrConflict if any status
	// was stored after position.
	PutRolloutStatus(ctx context.Context, pool model.Pool, s RolloutStatus, position Position) error
}

// RolloutState is the state of a roll-out as the store holds it.
type RolloutState string

// The states. The last two are verdicts, which are never replaced.
const (
	RolloutInProgress RolloutState = "in_progress"
	RolloutCompleted  RolloutState = "completed"
	RolloutReverted   RolloutState = "reverted"
)

// RolloutStatus is the record of a roll-out that the routers keep in the store.
type RolloutStatus struct {
	State  RolloutState
	Target model.Version
}

// DutyStore is the part of the platform's store that holds the records of the duties.
type DutyStore interface {
	// Duties returns the records and the position after them. DutyChanges does so for
	// changes since last was read at position from, and waits up to wait for the first
	// one. It returns ErrIncomplete if Duties is to be called.
	// PutDuties stores the lease, and the journal unless it is empty, and returns the
	// position after them. It returns ErrConflict if records were stored after position.
	Duties(ctx context.Context) (DutyRecords, duty.Position, error)
	DutyChanges(ctx context.Context, last DutyRecords, from duty.Position, wait time.Duration) (DutyRecords, duty.Position, error)
	PutDuties(ctx context.Context, r DutyRecords, position duty.Position) (duty.Position, error)
}

// DutyRecords are the records of the duties in the store.
type DutyRecords struct {
	Lease   duty.Lease
	Journal duty.Journal
}

// DutyCall says in whose name a call is made that is the duty of one router at a time.
type DutyCall struct {
	Holder model.InstanceID
	Token  duty.Token
	// Allowed reports whether the call may still be sent. It is asked right before each
	// write.
	Allowed func() bool
}

// DutyAPI is the platform's interface for calls that are the duty of one router at a time.
// Nothing can be read from it.
type DutyAPI interface {
	// ReportUsage reports the requests of each workspace in a window. The error says why
	// the outcome is not duty.Accepted.
	ReportUsage(ctx context.Context, c DutyCall, r duty.Report) (duty.Outcome, error)
	// OrderEndpoints orders the number of endpoints of a pool in a data centre.
	OrderEndpoints(ctx context.Context, c DutyCall, o duty.Order) (duty.Outcome, error)
	// Performs returns which duties the deployment has.
	Performs() (usage, scaling bool)
}

// CacheReader asks engines which prompt parts they have cached.
type CacheReader interface {
	// CachedParts returns the prompt parts in the cache of the engine at address.
	CachedParts(ctx context.Context, address string) ([]uint64, error)
}

// Features are the parts of a router that the platform's terms for a deployment call for.
type Features struct {
	Admission bool // requests are refused early and by urgency while a pool is overloaded
	Slots     bool // the slots of small pools are granted to one router at a time
	Duties    bool // one router at a time reports usage and orders endpoints
	Rollouts  bool // versions are rolled out as operators order
}

// Deps are the external dependencies of a router.
type Deps struct {
	Log      *slog.Logger
	Features Features
	Protocol Protocol
	Store    Store
	Caches   CacheReader
	// Duties is nil if the deployment has no duties of one router at a time. DutyStore
	// keeps their records.
	Duties    DutyAPI
	DutyStore DutyStore
}
