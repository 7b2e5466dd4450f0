package model

import (
	"strconv"
	"time"
)

// Cost is the work of one request in tokens.
type Cost struct {
	Prefill  int64 // tokens of the prompt
	Generate int64 // tokens that may be generated
}

// generateWeight is the cost of one generated token in prefill tokens.
// Generation reads the whole cache for each token, prefill shares the read.
const generateWeight = 4

// Units returns the cost in cost units, where one unit is one prefill token.
// It is at least 1, so that an empty request still counts.
func (c Cost) Units() int64 {
	return max(1, c.Prefill+generateWeight*c.Generate)
}

// Request is one call on its way through a pipeline. Filters fill in the
// fields that belong to them; a field is set once.
type Request struct {
	ID             RequestID
	APIKey         string // as sent by the caller; cleared by identify
	Workspace      Workspace
	Plan           Plan
	Priority       int // higher goes first
	Chat           ChatID
	Route          Route
	Pool           Pool
	Kind           EndpointKind
	Idempotent     bool
	IdempotencyKey string
	Deadline       time.Time // zero means none
	ReturnToken    string    // hint of the endpoint that holds the chat
	Fingerprint    uint64    // hash of workspace, route and body
	Cost           Cost
	Body           []byte
	ResumeFrom     int    // index of the first frame that the receiver still lacks
	Attempt        int    // 0 for the first hand-over
	AttemptID      string // id of one hand-over of a non-idempotent request; its copies share it
	Target         EndpointID
	KVSource       string  // address of the side that holds the chat's cache, if it is not the target
	Takeover       bool    // the target may take the key's partition over from an owner that cannot be reached
	MayHaveRun     bool    // an earlier hand-over may have run; only the log can tell
	Version        Version // version that the rollout filter selected; empty means any
	Quarantined    bool    // shared one crash; equal requests go to one endpoint
	Stages         *StageTimes
}

// HashKey returns the string that decides the endpoint order of the request.
// Requests of one chat share it at every entry. Without a chat, equal requests
// share it, so that copies of a request that crashes endpoints meet at one
// endpoint instead of crashing one each.
func (r *Request) HashKey() string {
	if r.Chat == "" && r.Fingerprint != 0 {
		return string(r.Workspace) + "\x00" + strconv.FormatUint(r.Fingerprint, 16)
	}
	if r.Chat == "" {
		return string(r.Workspace) + "\x00" + string(r.ID)
	}
	return string(r.Workspace) + "\x00" + string(r.Chat)
}
