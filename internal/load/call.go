package load

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// call is one request that plan yields.
type call struct {
	ID          model.RequestID
	Workspace   Workspace
	Chat        model.ChatID // empty for a service call
	Route       string       // "service/route" of a service call
	Key         string       // idempotency key of a service call
	Repeat      bool         // repeats the key of an earlier call
	Body        []byte
	Tokens      int    // tokens that the answer must have
	Prefill     int64  // tokens of the prompt
	Ideal       int64  // of these, tokens that the chat's last turn left in a cache
	ReturnToken string // from the chat's last answer
	Entry       int    // index of the first entry to try
	Due         time.Time
}

// verdict tells how a call ended.
type verdict string

// The verdicts.
const (
	whole   verdict = "whole"   // the right answer to its end
	refused verdict = "refused" // refused until the attempts were used up
	cut     verdict = "cut"     // ended before its end, and so did every resumption
	wrong   verdict = "wrong"   // ended, but is not the answer to this request
	failed  verdict = "failed"  // no answer at all
)

// refusal is one refusal that a caller saw.
type refusal struct {
	Reason  string
	Outcome string
}

// result is the end of a call.
type result struct {
	call        call
	verdict     verdict
	detail      string
	refusals    []refusal
	resumed     int // attempts that went on after a cut
	attempts    int
	first       time.Duration // from the start of the last attempt to the first token
	gaps        []time.Duration
	total       time.Duration
	cached      int64
	returnToken string
	run         int64 // number of the run that a service call reports
}
