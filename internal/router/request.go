package router

import (
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/memory"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/origin"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// PromptPart is one part of a prompt. Requests whose prompts begin alike share
// parts, and engines cache them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is one request of a caller. Protocol.Decode and Router.decode fill in the
// first group of fields, but for Body, and the filters the second.
type Request struct {
	ID        model.RequestID
	Method    string
	Target    string // path and query as sent
	Path      string // target without the query
	Host      string
	Header    http.Header // the part of the caller's header that endpoints get
	Body      []byte
	Key       string        // API key; never forwarded
	Wait      time.Duration // the caller's timeout, counted from Arrived; 0 if not given
	Arrived   time.Time
	Parts     []PromptPart // parts of the prompt, in order
	LastEvent string       // id of the last event that the caller received
	incoming  incomingBody
	memory    *memory.Account
	noChunks  bool // the caller knows the end of an answer by its length or the end of the connection only

	Route        *catalog.Route
	Workspace    *catalog.Workspace // nil on public routes
	Pool         model.Pool
	Deadline     time.Time // when the caller needs the final answer; zero if there is none
	Endpoint     place.Endpoint
	ChoiceReason place.Reason
	FetchFrom    string             // address of an endpoint from which to fetch the cached prompt
	PendingPart  uint64             // part that the endpoint holds only once it has received the request
	Excluded     []model.EndpointID // endpoints picked for this and earlier attempts
	Granted      model.EndpointID   // at which the attempt holds a slot; empty if none
	Sends        int                // attempts that may have reached an endpoint
	Runs         int                // attempts that an endpoint may have run
	uncached     int                // prompt tokens that the endpoint is expected to read
	fetched      int                // prompt tokens that it is told to fetch
	endpointLoad float64            // of the endpoint when it was chosen
	remote       place.RemoteReason // why the endpoint is in another data centre; empty if it is not
	sentRemote   remoteTraffic
	trace        origin.Trace // of the latest attempt
	connections  []uint64     // that carried attempts, by their numbers
	began        bool         // an endpoint began to run it, which is counted for the usage report
	coldEndpoint bool         // the endpoint has started lately
	// FirstEvent is the time from the arrival to the first event of a stream.
	FirstEvent time.Duration
}

// sharedPart returns the last prompt part that other requests may share. The last
// part of a prompt of several parts belongs to the request or its chat alone.
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

// basePart returns the first prompt part if that is not the shared part, else 0.
func (r *Request) basePart() uint64 {
	if len(r.Parts) < 3 {
		return 0
	}
	return r.Parts[0].ID
}

// sharedTokens returns the number of tokens of the parts up to the shared one.
func (r *Request) sharedTokens() int {
	n := 0
	for i, p := range r.Parts {
		if i == 0 || i < len(r.Parts)-1 {
			n += p.Tokens
		}
	}
	return n
}

// remoteTraffic is what a request sent to other data centres and received from them.
type remoteTraffic struct {
	reason place.RemoteReason // of the last attempt that went there
	sends  int
	bytes  int // bodies and events
}

// countSend counts an attempt that is sent.
func (r *Request) countSend() {
	if r.remote != "" {
		r.sentRemote.reason = r.remote
		r.sentRemote.sends++
	}
	r.countBytes(len(r.Body))
}

// countBytes counts bytes to or from the endpoint of the attempt.
func (r *Request) countBytes(n int) {
	if r.remote != "" {
		r.sentRemote.bytes += n
	}
}

// promptTokens returns the number of tokens of all parts.
func (r *Request) promptTokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// priority returns the priority of the workspace, or that of the route if the
// workspace has none. 0 is the most urgent.
func (r *Request) priority() int {
	if r.Workspace != nil && r.Workspace.Priority >= 0 {
		return r.Workspace.Priority
	}
	return r.Route.Priority
}

// Priority returns the priority of the request, 0 being the most urgent, and
// whether the request goes to an engine.
func (r *Request) Priority() (int, bool) {
	return r.priority(), r.Route != nil && r.Route.Generation
}

// Answer is the answer of an endpoint: a complete body or a stream of events.
type Answer struct {
	Status        int
	Header        http.Header
	Body          []byte
	Events        EventReader // nil if the answer is not a stream
	EndpointError bool        // the endpoint ran the request and failed
	Endpoint      model.EndpointID
}

// EventReader reads the events of a stream. Close must be called; it stops the
// endpoint's work unless the stream has ended.
type EventReader interface {
	// Next returns the next complete event, including the blank line that ends
	// it, or io.EOF at the end of the stream.
	Next() ([]byte, error)
	Close()
}
