package load

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// call is a request made by the planner.
type call struct {
	ID          model.RequestID
	Workspace   Workspace
	Chat        model.ChatID // empty for a service call
	Route       string       // "service/route" of a service call
	Key         string       // idempotency key of a service call
	ReusesKey   bool         // duplicate of an earlier call with the same key
	Body        []byte
	Tokens      int    // tokens that the answer must have
	Prefill     int64  // tokens of the prompt
	Cacheable   int64  // prompt tokens that the chat's last turn left in a cache
	ReturnToken string // from the chat's last answer
	Entry       int    // index of the entry for the first attempt
	Due         time.Time
}

// verdict classifies how a call ended. Reports contain the value.
type verdict string

const (
	verdictComplete    verdict = "whole"   // complete and correct answer
	verdictRefused     verdict = "refused" // refused, with no retry left or allowed
	verdictInterrupted verdict = "cut"     // truncated answer that no attempt completed
	verdictWrong       verdict = "wrong"   // answer that does not match the request
	verdictFailed      verdict = "failed"  // no answer
)

// refusal is a refusal that a caller received.
type refusal struct {
	Reason  string
	Outcome string
}

// result describes how a call ended, after all its attempts.
type result struct {
	call         call
	verdict      verdict
	detail       string
	refusals     []refusal
	resumed      int // attempts that resumed a truncated answer
	attempts     int
	firstToken   time.Duration // time to the first token, from the start of the attempt that received it
	tokenGaps    []time.Duration
	total        time.Duration
	cachedTokens int64
	returnToken  string
	run          int64 // run number in the answer of a service
}
