package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// harness runs the jobs of owners on one in-memory stream.
type harness struct {
	records []StoredRecord
	now     time.Time
}

func (h *harness) append(items []Item) int64 {
	offset := int64(len(h.records))
	h.records = append(h.records, StoredRecord{Offset: offset, Record: Record{ID: "r", Items: items}})
	return offset
}

func (h *harness) feed(o *Owner, from int64) {
	o.Feed(Batch{Next: int64(len(h.records)), Records: h.records[min(from, int64(len(h.records))):]})
}

// step runs the next job of o and returns the decisions.
func (h *harness) step(o *Owner) []CallDecision {
	job, ok := o.NextJob(h.now)
	if !ok {
		return nil
	}
	var res JobResult
	if len(job.Items) > 0 {
		res.Append = logsvc.AppendResult{State: logsvc.AppendDone, Offset: h.append(job.Items)}
	}
	h.feed(o, job.From)
	return o.JobDone(h.now, job, res)
}

// runAll runs the jobs of o until there are no more.
func (h *harness) runAll(o *Owner) []CallDecision {
	var out []CallDecision
	for range 10 {
		out = append(out, h.step(o)...)
	}
	return out
}

func newHarness() *harness { return &harness{now: time.Unix(1000, 0)} }

func testOwner(name string, disabled ...Disabled) *Owner {
	id := Identity{Pool: "tracker", Self: model.EndpointID(name), Process: name}
	return NewOwner(id, 0, Limits{Keys: 100, AnswerBytes: 1000}, append(disabled, Disabled{})[0])
}

// resumeAfterTakeover pauses an owner before it appends a claim, lets another
// process take over the partition, and reports whether the first owner then runs
// the request of its claim.
func resumeAfterTakeover(disabled Disabled) bool {
	h, a, c := newHarness(), testOwner("a", disabled), testOwner("c", disabled)
	a.Request(h.now, Call{Token: 1, Key: Key{1}})
	h.runAll(a)
	a.Request(h.now, Call{Token: 2, Key: Key{2}})
	paused, _ := a.NextJob(h.now) // a is paused before its append
	c.Request(h.now, Call{Token: 3, Key: Key{3}, Takeover: true})
	h.runAll(c)
	offset := h.append(paused.Items)
	h.feed(a, paused.From)
	got := a.JobDone(h.now, paused, JobResult{Append: logsvc.AppendResult{State: logsvc.AppendDone, Offset: offset}})
	return got[0].Run
}

// Guards against an owner that resumes after a pause and runs a request although
// another process has taken over the partition.
func TestPausedOwnerLosesItsClaim(t *testing.T) {
	is := is.New(t)
	is.True(!resumeAfterTakeover(Disabled{}))
	is.True(resumeAfterTakeover(Disabled{Epoch: true})) // only the epoch prevents it
}

// Guards against running a request whose claim comes after the void of its key.
func TestClaimAfterVoidIsRefused(t *testing.T) {
	is := is.New(t)
	h, a := newHarness(), testOwner("a")
	h.append([]Item{{Kind: KindVoid, Key: Key{1}}})
	a.Request(h.now, Call{Token: 1, Key: Key{1}})
	got := h.runAll(a)
	is.Equal(got[0].Refusal.Reason, model.ReasonVoided)
	is.Equal(got[0].Refusal.Outcome, model.OutcomeNotRun)
}

// Guards against a duplicate that runs again or gets another answer at the next
// owner, and against a key that stays claimed after a request that did not run.
func TestDuplicateAfterTakeoverGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	h, a, c := newHarness(), testOwner("a"), testOwner("c")
	a.Request(h.now, Call{Token: 1, Key: Key{1}})
	a.Request(h.now, Call{Token: 2, Key: Key{2}})
	is.Equal(len(h.runAll(a)), 2)
	a.Finish(h.now, 1, model.OutcomeRan, &Answer{Status: 200, Body: []byte("first")})
	a.Finish(h.now, 2, model.OutcomeNotRun, nil)
	h.now = h.now.Add(resultDelay)
	h.runAll(a)
	c.Request(h.now, Call{Token: 3, Key: Key{1}, Takeover: true})
	c.Request(h.now, Call{Token: 4, Key: Key{2}, Takeover: true})
	got := h.runAll(c)
	is.Equal(string(got[0].Answer.Body), "first")
	is.True(got[1].Run)
}

// Guards against refusing a call as not run although its append may still take
// effect, and against a key that stays claimed although its request will never run.
func TestLostClaimIsUnknownAndReleasedWhenItArrives(t *testing.T) {
	is := is.New(t)
	h, a := newHarness(), testOwner("a")
	a.Request(h.now, Call{Token: 1, Key: Key{1}})
	is.True(h.runAll(a)[0].Run)
	a.Request(h.now, Call{Token: 2, Key: Key{2}})
	job, _ := a.NextJob(h.now)
	got := a.JobDone(h.now, job, JobResult{ReadErr: errTest})
	is.Equal(got[0].Refusal.Outcome, model.OutcomeUnknown)
	h.append(job.Items) // the append takes effect late
	a.Request(h.now, Call{Token: 3, Key: Key{3}})
	h.runAll(a)
	h.now = h.now.Add(resultDelay)
	h.runAll(a)
	is.Equal(a.Fold().Lookup(Key{2}), nil)
}

// Guards against a refusal other than "not run" for a call for which nothing was
// appended because the log is down.
func TestLogOutageRefusesAsNotRunBeforeTheAppend(t *testing.T) {
	is := is.New(t)
	h, a := newHarness(), testOwner("a")
	a.Request(h.now, Call{Token: 1, Key: Key{1}})
	job, _ := a.NextJob(h.now)
	is.Equal(len(job.Items), 0) // the partition is read first
	got := a.JobDone(h.now, job, JobResult{ReadErr: errTest})
	is.Equal(got[0].Refusal.Outcome, model.OutcomeNotRun)
	is.Equal(got[0].Refusal.Reason, model.ReasonLogUnavailable)
}

// Guards against a reader that takes a claim as the winner although its epoch
// record was trimmed, or that ignores such a claim although its request may have
// run.
func TestTrimmedEpochBlocksTheKeyWithoutAResult(t *testing.T) {
	is := is.New(t)
	f := NewFold(Limits{Keys: 10, AnswerBytes: 100})
	f.ApplyBatch(Batch{First: 50})
	f.Apply(60, 0, Record{Items: []Item{{Kind: KindClaim, ID: "x", Pool: "tracker", Owner: "a", Key: Key{1}, Epoch: 10}}})
	is.True(f.Lookup(Key{1}) != nil)
	f.Apply(61, 0, Record{Items: []Item{{Kind: KindResult, Key: Key{1}, Claim: Position{Offset: 40}, Outcome: model.OutcomeRan}}})
	is.Equal(f.Lookup(Key{1}).Outcome, model.OutcomeRan)
	f.ApplyBatch(Batch{First: 61})
	is.Equal(f.Lookup(Key{1}), nil) // its record was trimmed
	is.Equal(f.Len(), 0)
}
