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
// Generation reads the whole cache for each token, while prefill shares one
// read among its tokens.
const generateWeight = 4

// Units returns the cost in cost units, where one unit is one prefill token.
// It is at least 1, so that an empty request still counts.
func (c Cost) Units() int64 {
	return max(1, c.Prefill+generateWeight*c.Generate)
}

// Request is a call that passes through a pipeline. Each filter sets the fields
// that it is responsible for; a field is set once.
type Request struct {
	ID             RequestID
	APIKey         string // as sent by the caller; cleared by the identify filter
	Workspace      Workspace
	Plan           Plan
	Priority       int // higher is served first
	Chat           ChatID
	Route          Route
	Pool           Pool
	Kind           EndpointKind
	Idempotent     bool
	IdempotencyKey string
	Deadline       time.Time // zero means none
	ReturnToken    string    // hint of the endpoint whose cache holds the chat
	Fingerprint    uint64    // hash of workspace, route and body
	Cost           Cost
	Body           []byte
	ResumeFrom     int    // index of the first frame that the receiver does not have
	Attempt        int    // 0 for the first attempt
	AttemptID      string // id of one attempt of a non-idempotent request; copies of the attempt share it
	Target         EndpointID
	KVSource       string  // address of the side that holds the chat's cache, if it is not the target
	Takeover       bool    // the target may take over the key's partition from an unreachable owner
	MayHaveRun     bool    // an earlier attempt may have run; only the log shows whether it did
	Version        Version // version that the rollout filter selected; empty means any
	Quarantined    bool    // the fingerprint was seen at one crash; equal requests go to one endpoint
	Stages         *StageTimes
}

// HashKey returns the key of the request's rendezvous order of endpoints. It is
// the same at every entry for all requests of one chat. Without a chat it is the
// same for equal requests, so that copies of a request that crashes endpoints
// reach the same endpoint instead of crashing one endpoint each.
func (r *Request) HashKey() string {
	if r.Chat == "" && r.Fingerprint != 0 {
		return string(r.Workspace) + "\x00" + strconv.FormatUint(r.Fingerprint, 16)
	}
	if r.Chat == "" {
		return string(r.Workspace) + "\x00" + string(r.ID)
	}
	return string(r.Workspace) + "\x00" + string(r.Chat)
}
