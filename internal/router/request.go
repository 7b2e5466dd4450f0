package router

import (
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// PromptPart is one part of a prompt, which requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is one attempt of a caller. The front end fills in the first group,
// filters the second.
type Request struct {
	ID        model.RequestID
	Method    string
	Target    string // path and query as sent
	Path      string // target without the query
	Host      string
	Header    http.Header // what endpoints get of the caller's header
	Body      []byte
	Key       string        // API key; never passed on
	Wait      time.Duration // how long the caller waits from Arrived on; 0 if it did not say
	Arrived   time.Time
	Parts     []PromptPart // of the prompt, in order
	LastEvent string       // id of the last event that the caller has

	Route        *catalog.Route
	Workspace    *catalog.Workspace // nil on public routes
	Pool         model.Pool
	Deadline     time.Time // of the final answer
	Endpoint     place.Endpoint
	ChoiceReason place.Reason
	FetchFrom    string // address of an endpoint whose cache holds the prompt
	PendingPart  uint64 // part that the endpoint holds only once the request got there
	Excluded     []model.EndpointID
	Sends        int // attempts at endpoints that may have arrived
	Runs         int // of these, the ones that may have run
	// FirstEvent is the time from the arrival to the first event of a stream.
	FirstEvent time.Duration
}

// sharedPart returns the last prompt part that other requests may share. The
// last part of all belongs to the request or its chat alone.
func (r *Request) sharedPart() uint64 {
	switch n := len(r.Parts); n {
	case 0:
		return 0
	case 1:
		return r.Parts[0].ID
	default:
		return r.Parts[n-2].ID
	}
}

// basePart returns the first prompt part if it is not the shared one.
func (r *Request) basePart() uint64 {
	if len(r.Parts) < 3 {
		return 0
	}
	return r.Parts[0].ID
}

// sharedTokens returns the tokens of the parts up to the shared one.
func (r *Request) sharedTokens() int {
	n := 0
	for i, p := range r.Parts {
		if i == 0 || i < len(r.Parts)-1 {
			n += p.Tokens
		}
	}
	return n
}

// priority returns the rank of the request, 0 first.
func (r *Request) priority() int {
	if r.Workspace != nil && r.Workspace.Priority >= 0 {
		return r.Workspace.Priority
	}
	return r.Route.Priority
}

// Priority returns the rank of the request, 0 first, and false if it is none
// for an engine.
func (r *Request) Priority() (int, bool) {
	return r.priority(), r.Route != nil && r.Route.Generation
}

// Answer is what an endpoint answered: a whole body, or events that follow.
type Answer struct {
	Status        int
	Header        http.Header
	Body          []byte
	Events        EventReader // nil if Body is the whole answer
	EndpointError bool        // the endpoint ran the request and failed
	Endpoint      model.EndpointID
}

// EventReader yields whole events of a stream. Close stops the endpoint's work
// unless the stream is at its end.
type EventReader interface {
	// Next returns the next event with its final blank line, or io.EOF at the
	// end of the whole stream.
	Next() ([]byte, error)
	Close()
}
