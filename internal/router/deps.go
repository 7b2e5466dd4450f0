package router

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// Protocol encodes and decodes the messages of callers and endpoints.
type Protocol interface {
	// Decode returns the request in r, without its body.
	Decode(r *http.Request) (*Request, error)
	// Refusal returns the status and header that tell a caller of a refusal.
	Refusal(r *model.Refusal) (status int, header http.Header)
	// OutboundHeader returns the header of req for its endpoint, where left is the
	// time that the endpoint has.
	OutboundHeader(req *Request, left time.Duration) http.Header
	// AnswerMatches reports whether an answer with this header is to req.
	AnswerMatches(req *Request, h http.Header) bool
	// ClassifyResponse says what an endpoint's answer means.
	ClassifyResponse(status int, h http.Header) ResponseClass
}

// ResponseClass is what an endpoint says of a request.
type ResponseClass struct {
	NotRun      bool // the endpoint did not run the request and will not
	Misdirected bool // another endpoint has the address
	Signed      bool // the answer carries the endpoint's signature
}

// ErrIncomplete means that the changes since a position cannot be had: records
// are gone, or there are too many. What stands has to be read anew.
var ErrIncomplete = eris.New("router: changes are incomplete")

// Orders is what operators ordered. A nil field says nothing.
type Orders struct {
	Catalog   *catalog.Catalog
	Evacuated map[model.DataCentre]bool // true while out of service
	Skipped   int                       // records that could not be read
}

// Member is one router process as it announces itself.
type Member struct {
	Instance model.InstanceID
	Address  string    // of the exchange, ip:port over UDP
	Seen     time.Time // when it announced itself, by its own clock
}

// Listing is what a read of the instance list returned.
type Listing struct {
	place.Delta       // from an empty list, or from the position that was asked for
	Skipped     int   // entries that name no endpoint to use
	Position    int64 // behind the records that were read
}

// Store is the platform's store. A call that gets no answer ends with an error
// after a time of its own, in about a second beyond the time for which it waits.
type Store interface {
	// Endpoints returns the whole instance list.
	Endpoints(ctx context.Context) (Listing, error)
	// EndpointChanges returns what was written to the list since a position. It
	// returns ErrIncomplete if it cannot return all of it.
	EndpointChanges(ctx context.Context, from int64) (Listing, error)
	// CurrentOrders returns all orders that stand and the position behind them.
	CurrentOrders(ctx context.Context) (Orders, int64, error)
	// OrderChanges returns the orders from a position on and the position behind
	// them. It waits up to wait for the first one and returns ErrIncomplete if it
	// cannot return all of them.
	OrderChanges(ctx context.Context, from int64, wait time.Duration) (Orders, int64, error)
	// Announce publishes a member, Members returns those published.
	Announce(ctx context.Context, m Member) error
	Members(ctx context.Context) ([]Member, error)
}

// CacheReader reads the caches of engines.
type CacheReader interface {
	// CachedParts returns the prompt parts that the engine at address holds.
	CachedParts(ctx context.Context, address string) ([]uint64, error)
}

// Deps are the outside parts of a router.
type Deps struct {
	Log      *slog.Logger
	Protocol Protocol
	Store    Store
	Caches   CacheReader
}
