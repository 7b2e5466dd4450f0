package side

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Bounds on the claims of one side. A key takes about 250 bytes.
const (
	maxClaimKeys        = 200_000
	maxClaimAnswerBytes = 32 << 20
)

// claimState is the part of the control state for claims.
type claimState struct {
	process       string // random id of this process
	owners        map[int]*claim.Owner
	pending       map[uint64]claimRequest
	idleWorkers   []takeJob // workers that wait for a job
	nextPartition int       // partition at which the next search for a job starts
}

func newClaimState() claimState {
	return claimState{process: rand.Text(), owners: map[int]*claim.Owner{}, pending: map[uint64]claimRequest{}}
}

// Events of the claims.
type (
	// claimRequest asks whether a request may run.
	claimRequest struct {
		control.Deferred[claim.Decision]
		call claim.Call
	}
	// claimFinished carries the outcome of a permitted run.
	claimFinished struct {
		call    claim.Call
		outcome model.Outcome
		answer  *claim.Answer
	}
	// claimCancelled withdraws a call that its caller cancelled.
	claimCancelled struct{ call claim.Call }
	// takeJob asks for the next job for the log service.
	takeJob struct{ control.Deferred[claim.Job] }
	// claimRecords carries the records that a job has read from the log.
	claimRecords struct {
		partition int
		batch     claim.Batch
	}
	// jobDone carries the result of a job.
	jobDone struct {
		job    claim.Job
		result claim.JobResult
	}
)

func (claimRequest) EventName() string   { return "claim_request" }
func (claimFinished) EventName() string  { return "claim_finished" }
func (claimCancelled) EventName() string { return "claim_cancelled" }
func (takeJob) EventName() string        { return "take_job" }
func (claimRecords) EventName() string   { return "claim_records" }
func (jobDone) EventName() string        { return "job_done" }

// decideClaims applies the records of the claims streams and decides which requests
// may run.
type decideClaims struct {
	settings Settings
	disabled claim.Disabled
	log      *slog.Logger
}

func (decideClaims) Name() string { return "decide_claims" }

func (st decideClaims) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case claimRequest:
		s.Claims.pending[ev.call.Token] = ev
		o := st.owner(s, ev.call.Key.Partition())
		o.SetLifetime(s.Config.Lists.Pools[st.settings.Pool].KeyLifetime)
		st.replyDecided(s, o, o.Request(now, ev.call))
	case claimFinished:
		st.owner(s, ev.call.Key.Partition()).Finish(now, ev.call.Token, ev.outcome, ev.answer)
		countClaim("result_" + string(ev.outcome))
	case claimCancelled:
		delete(s.Claims.pending, ev.call.Token)
		st.owner(s, ev.call.Key.Partition()).Cancel(now, ev.call.Token)
		countClaim("cancelled")
	case takeJob:
		s.Claims.idleWorkers = append(s.Claims.idleWorkers, ev)
	case claimRecords:
		st.owner(s, ev.partition).Feed(ev.batch)
		st.logMalformed(ev)
	case jobDone:
		st.finishJob(s, now, ev)
	case control.Tick:
		for _, o := range s.Claims.owners {
			o.Tick(now)
		}
	default:
		return false
	}
	s.Claims.dispatch(now)
	return false
}

func (st decideClaims) owner(s *State, partition int) *claim.Owner {
	o := s.Claims.owners[partition]
	if o == nil {
		id := claim.Identity{Pool: st.settings.Pool, Self: st.settings.EndpointID(), Process: s.Claims.process}
		limits := claim.Limits{Keys: maxClaimKeys / claim.Partitions, AnswerBytes: maxClaimAnswerBytes / claim.Partitions}
		o = claim.NewOwner(id, partition, limits, st.disabled)
		s.Claims.owners[partition] = o
	}
	return o
}

func (st decideClaims) finishJob(s *State, now time.Time, ev jobDone) {
	if err := ev.result.ReadErr; err != nil {
		st.log.Warn("log service cannot be used", "stream", claim.Stream(ev.job.Partition), "error", err)
		countClaim("log_failed")
	}
	o := st.owner(s, ev.job.Partition)
	st.replyDecided(s, o, o.JobDone(now, ev.job, ev.result))
}

func (st decideClaims) replyDecided(s *State, o *claim.Owner, decided []claim.CallDecision) {
	for _, d := range decided {
		request, ok := s.Claims.pending[d.Token]
		if !ok {
			continue
		}
		delete(s.Claims.pending, d.Token)
		if d.Run {
			winner := o.Fold().Lookup(request.call.Key)
			invariant.Check(invariant.AtMostOnce, winner != nil && winner.At == d.Claim,
				"run of key %x permitted without the winning claim", request.call.Key)
		}
		countClaim(decisionName(d.Decision))
		request.Reply(d.Decision)
	}
}

func decisionName(d claim.Decision) string {
	switch {
	case d.Run:
		return "run"
	case d.Refusal != nil:
		return string(d.Refusal.Reason)
	}
	return "repeated"
}

func (st decideClaims) logMalformed(ev claimRecords) {
	for _, offset := range ev.batch.Malformed {
		metrics.GetOrCreateCounter(`goldcrest_log_records_skipped_total{stream="claims"}`).Inc()
		st.log.Warn("record was skipped", "stream", claim.Stream(ev.partition), "offset", offset)
	}
}

func countClaim(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_claims_total{result=%q}`, result)).Inc()
}

// dispatch assigns jobs to idle workers, starting after the partition whose job was
// assigned last.
func (c *claimState) dispatch(now time.Time) {
	for i := 0; i < claim.Partitions && len(c.idleWorkers) > 0; i++ {
		p := (c.nextPartition + i) % claim.Partitions
		o := c.owners[p]
		if o == nil {
			continue
		}
		if job, ok := o.NextJob(now); ok {
			c.idleWorkers[0].Reply(job)
			c.idleWorkers = c.idleWorkers[1:]
			c.nextPartition = p + 1
		}
	}
}

// allIdle reports whether no claim or result of any partition waits for the log.
func (c *claimState) allIdle() bool {
	for _, o := range c.owners {
		if !o.Idle() {
			return false
		}
	}
	return true
}
