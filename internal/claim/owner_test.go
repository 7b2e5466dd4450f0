package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// bench drives owners against one in-memory stream.
type bench struct {
	records []StoredRecord
	now     time.Time
}

func (b *bench) append(items []Item) int64 {
	offset := int64(len(b.records))
	b.records = append(b.records, StoredRecord{Offset: offset, Record: Record{ID: "r", Items: items}})
	return offset
}

func (b *bench) feed(o *Owner, from int64) {
	o.Feed(Batch{Next: int64(len(b.records)), Records: b.records[min(from, int64(len(b.records))):]})
}

// step runs the next job of o and returns its decisions.
func (b *bench) step(o *Owner) []CallDecision {
	job, ok := o.NextJob(b.now)
	if !ok {
		return nil
	}
	var res JobResult
	if len(job.Items) > 0 {
		res.Append = logsvc.AppendResult{State: logsvc.AppendDone, Offset: b.append(job.Items)}
	}
	b.feed(o, job.From)
	return o.JobDone(b.now, job, res)
}

// run steps o until it has no work.
func (b *bench) run(o *Owner) []CallDecision {
	var out []CallDecision
	for range 10 {
		out = append(out, b.step(o)...)
	}
	return out
}

func newBench() *bench { return &bench{now: time.Unix(1000, 0)} }

func testOwner(name string, sw ...Disabled) *Owner {
	id := Identity{Pool: "tracker", Self: model.EndpointID(name), Process: name}
	return NewOwner(id, 0, Limits{Keys: 100, AnswerBytes: 1000}, append(sw, Disabled{})[0])
}

// resumeAfterTakeover pauses an owner before the append of a claim, lets
// another side take over and reports whether the old owner then runs the claim.
func resumeAfterTakeover(sw Disabled) bool {
	b, a, c := newBench(), testOwner("a", sw), testOwner("c", sw)
	a.Request(b.now, Call{Token: 1, Key: Key{1}})
	b.run(a)
	a.Request(b.now, Call{Token: 2, Key: Key{2}})
	paused, _ := a.NextJob(b.now) // a stops before its append
	c.Request(b.now, Call{Token: 3, Key: Key{3}, Takeover: true})
	b.run(c)
	offset := b.append(paused.Items)
	b.feed(a, paused.From)
	got := a.JobDone(b.now, paused, JobResult{Append: logsvc.AppendResult{State: logsvc.AppendDone, Offset: offset}})
	return got[0].Run
}

// Guards against an owner that resumes after a pause and runs a request
// although another side has taken the partition over.
func TestPausedOwnerLosesItsClaim(t *testing.T) {
	is := is.New(t)
	is.True(!resumeAfterTakeover(Disabled{}))
	is.True(resumeAfterTakeover(Disabled{Epoch: true})) // the epoch is what stops it
}

// Guards against a claim that arrives after the void of its key and runs.
func TestClaimAfterVoidIsRefused(t *testing.T) {
	is := is.New(t)
	b, a := newBench(), testOwner("a")
	b.append([]Item{{Kind: KindVoid, Key: Key{1}}})
	a.Request(b.now, Call{Token: 1, Key: Key{1}})
	got := b.run(a)
	is.Equal(got[0].Refusal.Reason, model.ReasonVoided)
	is.Equal(got[0].Refusal.Outcome, model.OutcomeNotRun)
}

// Guards against a repeat at the next owner that runs again or gets another
// answer, and against a key that stays blocked after a run that did not start.
func TestRepeatAfterTakeoverGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	b, a, c := newBench(), testOwner("a"), testOwner("c")
	a.Request(b.now, Call{Token: 1, Key: Key{1}})
	a.Request(b.now, Call{Token: 2, Key: Key{2}})
	is.Equal(len(b.run(a)), 2)
	a.Finish(b.now, 1, model.OutcomeRan, &Answer{Status: 200, Body: []byte("first")})
	a.Finish(b.now, 2, model.OutcomeNotRun, nil)
	b.now = b.now.Add(lazyDelay)
	b.run(a)
	c.Request(b.now, Call{Token: 3, Key: Key{1}, Takeover: true})
	c.Request(b.now, Call{Token: 4, Key: Key{2}, Takeover: true})
	got := b.run(c)
	is.Equal(string(got[0].Answer.Body), "first")
	is.True(got[1].Run)
}

// Guards against a lost append that is refused as not run and against a key
// that stays claimed although nobody will run it.
func TestLostClaimIsUnknownAndReleasedWhenItArrives(t *testing.T) {
	is := is.New(t)
	b, a := newBench(), testOwner("a")
	a.Request(b.now, Call{Token: 1, Key: Key{1}})
	is.True(b.run(a)[0].Run)
	a.Request(b.now, Call{Token: 2, Key: Key{2}})
	job, _ := a.NextJob(b.now)
	got := a.JobDone(b.now, job, JobResult{ReadErr: errTest})
	is.Equal(got[0].Refusal.Outcome, model.OutcomeUnknown)
	b.append(job.Items) // the append took effect late
	a.Request(b.now, Call{Token: 3, Key: Key{3}})
	b.run(a)
	b.now = b.now.Add(lazyDelay)
	b.run(a)
	is.Equal(a.Fold().Lookup(Key{2}), nil)
}

// Guards against a refusal other than "not run" for calls of which nothing was
// appended while the log is down.
func TestLogOutageRefusesAsNotRunBeforeTheAppend(t *testing.T) {
	is := is.New(t)
	b, a := newBench(), testOwner("a")
	a.Request(b.now, Call{Token: 1, Key: Key{1}})
	job, _ := a.NextJob(b.now)
	is.Equal(len(job.Items), 0) // the partition is read first
	got := a.JobDone(b.now, job, JobResult{ReadErr: errTest})
	is.Equal(got[0].Refusal.Outcome, model.OutcomeNotRun)
	is.Equal(got[0].Refusal.Reason, model.ReasonLogUnavailable)
}

// Guards against a reader that trusts a claim whose epoch record was trimmed,
// or forgets that the key may have run.
func TestTrimmedEpochBlocksTheKeyWithoutAResult(t *testing.T) {
	is := is.New(t)
	f := NewFold(Limits{Keys: 10, AnswerBytes: 100})
	f.ApplyBatch(Batch{First: 50})
	f.Apply(60, 0, Record{Items: []Item{{Kind: KindClaim, ID: "x", Pool: "tracker", Owner: "a", Key: Key{1}, Epoch: 10}}})
	is.True(f.Lookup(Key{1}) != nil)
	f.Apply(61, 0, Record{Items: []Item{{Kind: KindResult, Key: Key{1}, Claim: Position{Offset: 40}, Outcome: model.OutcomeRan}}})
	is.Equal(f.Lookup(Key{1}).Outcome, model.OutcomeRan)
	f.ApplyBatch(Batch{First: 61})
	is.Equal(f.Lookup(Key{1}), nil) // its record is no longer retained
	is.Equal(f.Len(), 0)
}
