package claim

import (
	"fmt"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Limits and times of an owner.
const (
	// MaxBatchBytes bounds the answers in a group commit, far below the maximum
	// size of a log record.
	MaxBatchBytes = 256 << 10
	// MaxWaiting is the maximum number of calls of one partition that wait for the
	// log.
	MaxWaiting = 1024
	// resultDelay is how long a result waits to share an append with a claim.
	resultDelay = 200 * time.Millisecond
	// resultRetryInterval is the time between attempts to append results.
	resultRetryInterval = time.Second
	// unknownRetryAfter is the time after which a duplicate may find the result of a
	// request with an unknown outcome.
	unknownRetryAfter = time.Second
	// maxAbandoned bounds the claims of refused or cancelled calls whose append may
	// still take effect.
	maxAbandoned = 1024
	// defaultRenewInterval is the age at which an epoch record is renewed if no key
	// lifetime is set.
	defaultRenewInterval = 6 * time.Hour
	// unloadDelay is how long the state of a partition that this process does not
	// own is kept in memory without use.
	unloadDelay = time.Minute
)

// Call asks for permission to run a request of a caller.
type Call struct {
	Token       uint64 // unique within the process
	Key         Key
	Fingerprint uint64
	Takeover    bool // an entry could not reach the current owner
}

// Decision is the reply to a call. Exactly one of Run, Answer and Refusal is set.
type Decision struct {
	Run     bool
	Claim   Position // with Run: position of the claim
	Answer  *Answer  // stored answer of the first request with the key
	Refusal *model.Refusal
}

// CallDecision is a decision with the token of its call.
type CallDecision struct {
	Token uint64
	Decision
}

// Job is I/O on the log: an append of Items, if any, and then a read from offset
// From to the appended record, or to the end of the stream if nothing is appended.
type Job struct {
	Partition int
	From      int64
	RecordID  string
	Items     []Item
}

// JobResult is the result of a job.
type JobResult struct {
	Append  logsvc.AppendResult // set if the job has items
	ReadErr error               // nil if the read was complete
}

// Identity identifies an owner and its process.
type Identity struct {
	Pool    model.Pool
	Self    model.EndpointID
	Process string // random name of the process; a restarted process has a new one
}

// Disabled lists the mechanisms that are turned off. Only tests and baselines set
// its fields.
type Disabled struct {
	ReadBack bool // run after the append without reading which record won
	Epoch    bool // claims are valid in any epoch
}

// Owner decides the calls of one partition. It belongs to the control goroutine.
type Owner struct {
	id           Identity
	disabled     Disabled
	partition    int
	limits       Limits
	fold         *Fold
	next         int64 // offset from which to read the log
	loaded       bool  // the last read was complete, so all records before next are applied
	jobInFlight  bool
	epochID      string // id of the last epoch item of this process
	epochPending bool   // an epoch item is queued or in flight
	waiting      []*waitingCall
	queue        []queuedItem
	granted      map[uint64]grant // permitted calls by token, until Finish
	abandoned    map[string]Key   // claims, by id, that may be in the log and will not run
	retryAt      time.Time        // after a failed job, results are not appended before this time
	idleSince    time.Time
	lastID       int
}

type waitingCall struct {
	Call
	claimID        string // empty while no claim is queued or in flight
	epochRequested bool   // an epoch was queued for this call
	needsRefresh   bool   // the log must be read again before the call can be decided
	refreshed      bool   // the log was read after the key was found claimed
}

type queuedItem struct {
	Item
	due time.Time // when to append it; zero means immediately
}

// grant is the claim of a call that was permitted to run.
type grant struct {
	key Key
	at  Position
}

// NewOwner returns the owner of a partition before any record is read.
func NewOwner(id Identity, partition int, l Limits, disabled Disabled) *Owner {
	l.ignoreEpoch = disabled.Epoch
	return &Owner{
		id: id, disabled: disabled, partition: partition, limits: l, fold: NewFold(l),
		granted: map[uint64]grant{}, abandoned: map[string]Key{},
	}
}

// SetLifetime sets the lifetime of keys.
func (o *Owner) SetLifetime(d time.Duration) { o.limits.KeyLifetime, o.fold.limits.KeyLifetime = d, d }

// Fold returns the fold of the partition. Callers must not modify it.
func (o *Owner) Fold() *Fold { return o.fold }

// Request adds a call. Its decision is returned by this or a later call of a
// method that returns decisions.
func (o *Owner) Request(now time.Time, c Call) []CallDecision {
	if len(o.waiting) >= MaxWaiting {
		return []CallDecision{{c.Token, refuse(model.ReasonOverloaded, "too many calls wait for the log service")}}
	}
	o.waiting = append(o.waiting, &waitingCall{Call: c})
	return o.decide(now)
}

// Cancel removes a call that the caller cancelled. If its claim wins, the key is
// released.
func (o *Owner) Cancel(now time.Time, token uint64) {
	if _, ok := o.granted[token]; ok {
		o.Finish(now, token, model.OutcomeNotRun, nil)
		return
	}
	for i, w := range o.waiting {
		if w.Token == token {
			o.abandon(w)
			o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
			return
		}
	}
}

func (o *Owner) abandon(w *waitingCall) {
	if w.claimID != "" && len(o.abandoned) < maxAbandoned {
		o.abandoned[w.claimID] = w.Key
	}
}

// Finish records the outcome of a request that was permitted to run.
func (o *Owner) Finish(now time.Time, token uint64, outcome model.Outcome, answer *Answer) {
	g, ok := o.granted[token]
	if !ok {
		return
	}
	delete(o.granted, token)
	if s := o.fold.Lookup(g.key); s != nil && s.At == g.at {
		if outcome == model.OutcomeNotRun {
			s.releasing = true
		} else {
			o.fold.setResult(g.key, s, outcome, answer)
		}
	}
	o.enqueue(Item{Kind: KindResult, Key: g.key, Claim: g.at, Outcome: outcome, Answer: answer}, now.Add(resultDelay))
}

func (o *Owner) enqueue(it Item, due time.Time) { o.queue = append(o.queue, queuedItem{it, due}) }

func (o *Owner) newID() string {
	o.lastID++
	return fmt.Sprintf("%s-%d-%d", o.id.Process, o.partition, o.lastID)
}

// decide goes through the waiting calls that have no claim yet. It returns the
// decisions of those that can be decided now and queues claims or an epoch for the
// others.
func (o *Owner) decide(now time.Time) []CallDecision {
	var out []CallDecision
	remaining := o.waiting[:0]
	for _, w := range o.waiting {
		if w.claimID == "" {
			if d, done := o.decideOne(w); done {
				out = append(out, CallDecision{w.Token, d})
				continue
			}
		}
		remaining = append(remaining, w)
	}
	clear(o.waiting[len(remaining):])
	o.waiting = remaining
	return out
}

func (o *Owner) decideOne(w *waitingCall) (Decision, bool) {
	if !o.loaded {
		return Decision{}, false
	}
	if s := o.fold.Lookup(w.Key); s != nil && !s.releasing && !o.disabled.ReadBack {
		return o.decideDuplicate(w, s)
	}
	if o.fold.Full() {
		return refuse(model.ReasonOverloaded, "too many idempotency keys are remembered"), true
	}
	if o.epochPending {
		return Decision{}, false
	}
	if o.Owns() {
		w.claimID = o.newID()
		epoch, _ := o.fold.Epoch(o.id.Pool)
		o.enqueue(Item{
			Kind: KindClaim, ID: w.claimID, Pool: o.id.Pool, Owner: o.id.Self, Key: w.Key,
			Epoch: epoch.Offset, Fingerprint: w.Fingerprint,
		}, time.Time{})
		return Decision{}, false
	}
	epoch, known := o.fold.Epoch(o.id.Pool)
	if w.epochRequested || known && !w.Takeover && epoch.Owner != o.id.Self {
		r := model.Refuse(model.ReasonNotOwner, "another endpoint owns the partition of the key")
		r.Owner = epoch.Owner
		return Decision{Refusal: r}, true
	}
	w.epochRequested = true
	o.enqueueEpoch()
	return Decision{}, false
}

// enqueueEpoch queues an epoch item. Calls wait until it has been read back.
func (o *Owner) enqueueEpoch() {
	o.epochPending = true
	o.epochID = o.newID()
	o.enqueue(Item{Kind: KindEpoch, ID: o.epochID, Pool: o.id.Pool, Owner: o.id.Self}, time.Time{})
}

// Owns reports whether the latest epoch record that was read is from this
// process.
func (o *Owner) Owns() bool {
	e, ok := o.fold.Epoch(o.id.Pool)
	return ok && e.ID == o.epochID && o.epochID != ""
}

// decideDuplicate decides a call whose key was claimed or voided before. It returns
// false if the log has to be read first.
func (o *Owner) decideDuplicate(w *waitingCall, s *KeyState) (Decision, bool) {
	switch {
	case s.Void():
		return refuse(model.ReasonVoided, "the key was voided before it ran; send again with a new key"), true
	case s.Fingerprint != w.Fingerprint:
		return refuse(model.ReasonDuplicate, "the key was used with another route or body"), true
	case s.Answer != nil:
		return Decision{Answer: s.Answer}, true
	case s.Outcome == model.OutcomeRan:
		return Decision{Refusal: &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonDuplicate, Detail: "the key ran; its answer is not kept"}}, true
	case !w.refreshed:
		w.needsRefresh = true // a previous owner may have appended the result
		return Decision{}, false
	}
	return Decision{Refusal: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonDuplicate,
		Detail: "the key was claimed and its result is not known", RetryAfter: unknownRetryAfter}}, true
}

func refuse(reason model.Reason, detail string) Decision {
	return Decision{Refusal: model.Refuse(reason, detail)}
}

// NextJob returns the next job, if there is one. The caller must pass its result to
// JobDone before it gets another one.
func (o *Owner) NextJob(now time.Time) (Job, bool) {
	if o.jobInFlight {
		return Job{}, false
	}
	job := Job{Partition: o.partition, From: o.next}
	if o.loaded && o.appendDue(now) {
		o.fillJob(&job)
	} else if !o.needsRead(now) {
		return Job{}, false
	}
	o.jobInFlight = true
	return job, true
}

// appendDue reports whether queued items must be appended now: one of them is due, or
// they fill half a record. After a failure, results wait until retryAt.
func (o *Owner) appendDue(now time.Time) bool {
	for _, q := range o.queue {
		if q.due.IsZero() || !now.Before(q.due) && !now.Before(o.retryAt) {
			return true
		}
	}
	return len(o.queue) >= MaxItems/2 && !now.Before(o.retryAt)
}

// needsRead reports whether a call or a due result waits for a read.
func (o *Owner) needsRead(now time.Time) bool {
	if !o.loaded && (len(o.waiting) > 0 || o.appendDue(now)) {
		return true
	}
	for _, w := range o.waiting {
		if w.needsRefresh {
			return true
		}
	}
	return false
}

func (o *Owner) fillJob(job *Job) {
	bytes := 0
	for len(o.queue) > 0 && len(job.Items) < MaxItems {
		it := o.queue[0].Item
		if it.Answer != nil {
			bytes += len(it.Answer.Body)
		}
		if bytes > MaxBatchBytes && len(job.Items) > 0 {
			break
		}
		job.Items = append(job.Items, it)
		o.queue = o.queue[1:]
	}
	job.RecordID = o.newID()
}

// Feed applies records that a job has read, in offset order.
func (o *Owner) Feed(b Batch) {
	o.fold.ApplyBatch(b)
	o.next = max(o.next, b.Next)
}

// JobDone applies the result of a job after all its records were passed to Feed.
func (o *Owner) JobDone(now time.Time, job Job, res JobResult) []CallDecision {
	o.jobInFlight = false
	var out []CallDecision
	read := res.ReadErr == nil
	if len(job.Items) > 0 {
		read = read && res.Append.State == logsvc.AppendDone && o.next > res.Append.Offset
		out = o.decideClaims(job, res, read)
	}
	o.loaded = read
	for _, w := range o.waiting {
		w.refreshed, w.needsRefresh = w.refreshed || w.needsRefresh, false
	}
	if !read {
		o.retryAt = now.Add(resultRetryInterval)
		out = append(out, o.refuseWaiting()...)
	}
	o.releaseAbandoned(now)
	return append(out, o.decide(now)...)
}

// decideClaims decides the calls whose claims were in the job, and queues its
// results again if the append failed.
func (o *Owner) decideClaims(job Job, res JobResult, read bool) []CallDecision {
	claims := map[string]bool{}
	var results []queuedItem
	for _, it := range job.Items {
		switch it.Kind {
		case KindEpoch:
			o.epochPending = false
		case KindClaim:
			claims[it.ID] = true
		case KindResult:
			if res.Append.State != logsvc.AppendDone {
				results = append(results, queuedItem{it, o.retryAt})
			}
		}
	}
	o.queue = append(results, o.queue...)
	var out []CallDecision
	remaining := o.waiting[:0]
	for _, w := range o.waiting {
		if !claims[w.claimID] {
			remaining = append(remaining, w)
			continue
		}
		if d, done := o.decideClaim(w, read); done {
			out = append(out, CallDecision{w.Token, d})
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(o.waiting[len(remaining):])
	o.waiting = remaining
	return out
}

func (o *Owner) decideClaim(w *waitingCall, read bool) (Decision, bool) {
	s := o.fold.Lookup(w.Key)
	switch {
	case o.disabled.ReadBack:
		return Decision{Run: true}, true
	case !read:
		o.abandon(w)
		return Decision{Refusal: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonLogUnavailable,
			Detail: "the claim may be in the log", RetryAfter: unknownRetryAfter}}, true
	case s != nil && s.ClaimID == w.claimID:
		o.granted[w.Token] = grant{w.Key, s.At}
		return Decision{Run: true, Claim: s.At}, true
	case s == nil:
		r := model.Refuse(model.ReasonNotOwner, "another endpoint took the partition over")
		e, _ := o.fold.Epoch(o.id.Pool)
		r.Owner = e.Owner
		return Decision{Refusal: r}, true
	}
	w.claimID, w.refreshed = "", true // another record for the key won
	return Decision{}, false
}

// refuseWaiting refuses the calls without a claim while the log cannot be used.
// Nothing was appended for them, so they did not run, unless another record had
// claimed the key: then the outcome is unknown.
func (o *Owner) refuseWaiting() []CallDecision {
	var out []CallDecision
	remaining := o.waiting[:0]
	for _, w := range o.waiting {
		switch {
		case w.claimID != "":
			remaining = append(remaining, w)
		case w.refreshed:
			out = append(out, CallDecision{w.Token, Decision{Refusal: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonLogUnavailable,
				Detail: "the key was claimed and the log service cannot be read", RetryAfter: unknownRetryAfter}}})
		default:
			d := refuse(model.ReasonLogUnavailable, "the log service cannot be used")
			d.Refusal.RetryAfter = unknownRetryAfter
			out = append(out, CallDecision{w.Token, d})
		}
	}
	clear(o.waiting[len(remaining):])
	o.waiting = remaining
	return out
}

// releaseAbandoned releases the keys of claims that appeared in the log after
// their calls were refused. Only this process could have run them, and it did not.
func (o *Owner) releaseAbandoned(now time.Time) {
	for id, key := range o.abandoned {
		if s := o.fold.Lookup(key); s != nil && s.ClaimID == id {
			delete(o.abandoned, id)
			s.releasing = true
			o.enqueue(Item{Kind: KindResult, Key: key, Claim: s.At, Outcome: model.OutcomeNotRun}, now.Add(resultDelay))
		}
	}
}

// Tick renews the epoch record of this process once it is older than a quarter of
// the key lifetime, so that retention does not trim it, and frees the memory of a
// partition that this process does not own.
func (o *Owner) Tick(now time.Time) {
	if o.loaded && !o.jobInFlight && !o.epochPending && o.Owns() && o.fold.epochAge(o.id.Pool) > o.renewInterval() {
		o.enqueueEpoch()
	}
	if !o.loaded || o.jobInFlight || len(o.waiting)+len(o.queue)+len(o.granted) > 0 {
		o.idleSince = now
		return
	}
	if !o.Owns() && now.Sub(o.idleSince) >= unloadDelay {
		o.fold, o.next, o.loaded = NewFold(o.limits), 0, false
	}
}

func (o *Owner) renewInterval() time.Duration {
	if o.limits.KeyLifetime > 0 {
		return o.limits.KeyLifetime / 4
	}
	return defaultRenewInterval
}

// Idle reports whether no job, call, item or permitted request is pending.
func (o *Owner) Idle() bool { return !o.jobInFlight && len(o.waiting)+len(o.queue)+len(o.granted) == 0 }

// Flush makes all queued items due immediately, before a planned stop.
func (o *Owner) Flush() {
	for i := range o.queue {
		o.queue[i].due = time.Time{}
	}
}
