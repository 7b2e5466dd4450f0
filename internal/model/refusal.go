package model

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome is what is known about the execution of a refused request.
type Outcome string

// The outcomes of a refusal.
const (
	OutcomeNotRun  Outcome = "not_run" // the request did not run and will not run
	OutcomeRan     Outcome = "ran"     // the request ran, but its answer is not available
	OutcomeUnknown Outcome = "unknown" // the request may have run
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest     Reason = "bad_request"
	ReasonUnauthorised   Reason = "unauthorised"
	ReasonForbidden      Reason = "forbidden"
	ReasonNoRoute        Reason = "no_route"
	ReasonLimit          Reason = "limit_exceeded"
	ReasonOverloaded     Reason = "overloaded"
	ReasonCold           Reason = "cold"
	ReasonDataCentreOut  Reason = "data_centre_out"
	ReasonLeaving        Reason = "leaving"
	ReasonDraining       Reason = "draining"
	ReasonVersion        Reason = "version_suspended"
	ReasonSuspect        Reason = "suspected_of_crashes"
	ReasonNoEndpoint     Reason = "no_endpoint"
	ReasonNotConfigured  Reason = "not_configured"
	ReasonLogUnavailable Reason = "log_unavailable"
	ReasonNotOwner       Reason = "not_owner"
	ReasonVoided         Reason = "voided"
	ReasonNotKept        Reason = "answer_not_kept"
	ReasonDuplicate      Reason = "duplicate"
	ReasonDeadline       Reason = "deadline_exceeded"
	ReasonEndpointFailed Reason = "endpoint_failed"
	// ReasonCrashed means that the endpoint's connection ended while the request
	// ran there.
	ReasonCrashed     Reason = "endpoint_crashed"
	ReasonUnreachable Reason = "unreachable"
	// ReasonMemory means that the process holds as many bytes of requests and answers as
	// it may.
	ReasonMemory    Reason = "memory_exhausted"
	ReasonCancelled Reason = "cancelled"
	ReasonInternal  Reason = "internal"
)

// Refusal is the error that ends a request without a complete answer.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // suggested delay before a retry; 0 means none
	LoadRatio  float64       // load of the refusing endpoint over the pool mean
	Owner      EndpointID    // endpoint to ask instead, with ReasonNotOwner
	Crash      string        // id of the crash, with ReasonCrashed
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("refused (%s): %s", r.Outcome, r.Reason)
	}
	return fmt.Sprintf("refused (%s): %s: %s", r.Outcome, r.Reason, r.Detail)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// AsRefusal returns the refusal in the chain of err. Any other error becomes a
// refusal with outcome unknown, since the request may have run.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if eris.As(err, &r) {
		return r
	}
	return &Refusal{Outcome: OutcomeUnknown, Reason: ReasonInternal, Detail: err.Error()}
}
