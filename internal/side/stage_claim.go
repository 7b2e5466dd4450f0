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

// Bounds on the claims of one side. Keys take about 250 bytes each.
const (
	maxClaimKeys        = 200_000
	maxClaimAnswerBytes = 32 << 20
)

// claimState is the part of the control state that decides claims.
type claimState struct {
	process string // random name of this process
	owners  map[int]*claim.Owner
	replies map[uint64]claimRequest
	idle    []takeJob // workers that wait for a job
	cursor  int       // partition at which the next search for a job starts
}

func newClaimState() claimState {
	return claimState{process: rand.Text(), owners: map[int]*claim.Owner{}, replies: map[uint64]claimRequest{}}
}

// Events of the claims.
type (
	// claimRequest asks whether a request may run.
	claimRequest struct {
		control.Deferred[claim.Decision]
		call claim.Call
	}
	// claimFinished tells how a permitted run ended.
	claimFinished struct {
		call    claim.Call
		outcome model.Outcome
		answer  *claim.Answer
	}
	// claimCancelled ends a call that nobody waits for.
	claimCancelled struct{ call claim.Call }
	// takeJob asks for the next work at the log.
	takeJob struct{ control.Deferred[claim.Job] }
	// claimRecords carries records that a job has read.
	claimRecords struct {
		partition int
		batch     claim.Batch
	}
	// jobDone ends a job.
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

// decideClaims folds the claims streams and decides who may run.
type decideClaims struct {
	settings Settings
	switches claim.Disabled
	log      *slog.Logger
}

func (decideClaims) Name() string { return "decide_claims" }

func (st decideClaims) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case claimRequest:
		s.Claims.replies[ev.call.Token] = ev
		o := st.owner(s, ev.call.Key.Partition())
		o.SetLifetime(s.Config.Lists.Pools[st.settings.Pool].KeyLifetime)
		st.reply(s, o, o.Request(now, ev.call))
	case claimFinished:
		st.owner(s, ev.call.Key.Partition()).Finish(now, ev.call.Token, ev.outcome, ev.answer)
		countClaim("result_" + string(ev.outcome))
	case claimCancelled:
		delete(s.Claims.replies, ev.call.Token)
		st.owner(s, ev.call.Key.Partition()).Cancel(now, ev.call.Token)
		countClaim("cancelled")
	case takeJob:
		s.Claims.idle = append(s.Claims.idle, ev)
	case claimRecords:
		st.owner(s, ev.partition).Feed(ev.batch)
		st.reportMalformed(ev)
	case jobDone:
		st.done(s, now, ev)
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
		o = claim.NewOwner(id, partition, limits, st.switches)
		s.Claims.owners[partition] = o
	}
	return o
}

func (st decideClaims) done(s *State, now time.Time, ev jobDone) {
	if err := ev.result.ReadErr; err != nil {
		st.log.Warn("log service cannot be used", "stream", claim.Stream(ev.job.Partition), "error", err)
		countClaim("log_failed")
	}
	o := st.owner(s, ev.job.Partition)
	st.reply(s, o, o.JobDone(now, ev.job, ev.result))
}

func (st decideClaims) reply(s *State, o *claim.Owner, decided []claim.CallDecision) {
	for _, d := range decided {
		q, ok := s.Claims.replies[d.Token]
		if !ok {
			continue
		}
		delete(s.Claims.replies, d.Token)
		if d.Run {
			won := o.Fold().Lookup(q.call.Key)
			invariant.Check(invariant.AtMostOnce, won != nil && won.At == d.Claim,
				"run of key %x was permitted without the winning claim", q.call.Key)
		}
		countClaim(decisionName(d.Decision))
		q.Reply(d.Decision)
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

func (st decideClaims) reportMalformed(ev claimRecords) {
	for _, offset := range ev.batch.Malformed {
		metrics.GetOrCreateCounter(`goldcrest_log_records_skipped_total{stream="claims"}`).Inc()
		st.log.Warn("record was skipped", "stream", claim.Stream(ev.partition), "offset", offset)
	}
}

func countClaim(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_claims_total{result=%q}`, result)).Inc()
}

// dispatch hands jobs to waiting workers, starting after the partition that
// was served last.
func (c *claimState) dispatch(now time.Time) {
	for i := 0; i < claim.Partitions && len(c.idle) > 0; i++ {
		p := (c.cursor + i) % claim.Partitions
		o := c.owners[p]
		if o == nil {
			continue
		}
		if job, ok := o.NextJob(now); ok {
			c.idle[0].Reply(job)
			c.idle = c.idle[1:]
			c.cursor = p + 1
		}
	}
}

// idleClaims reports whether no claim or result waits for the log.
func (c *claimState) idleClaims() bool {
	for _, o := range c.owners {
		if !o.Idle() {
			return false
		}
	}
	return true
}
