package claim

import (
	"fmt"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Bounds and times of an owner.
const (
	// MaxBatchBytes keeps a group commit far below the largest record.
	MaxBatchBytes = 256 << 10
	// MaxWaiting bounds the calls of one partition that wait for the log.
	MaxWaiting = 1024
	// lazyDelay is how long a result waits for a claim with which it can share
	// an append.
	lazyDelay = 200 * time.Millisecond
	// resultRetry is the pause before results are appended again.
	resultRetry = time.Second
	// unknownRetryAfter is the time after which a repeat may find the result.
	unknownRetryAfter = time.Second
	// maxAbandoned bounds the claims of lost appends that may still arrive.
	maxAbandoned = 1024
	// defaultRenew is the age at which an epoch record is renewed where no key
	// lifetime is set.
	defaultRenew = 6 * time.Hour
	// unloadAfter is how long a partition of another owner is kept in memory.
	unloadAfter = time.Minute
)

// Call asks for the permission to run one request.
type Call struct {
	Token       uint64 // unique within the process
	Key         Key
	Fingerprint uint64
	Takeover    bool // an entry could not reach the present owner
}

// Decision answers a call: exactly one of Run, Answer and Refusal is set.
type Decision struct {
	Run     bool
	Claim   Position // of the own claim, with Run
	Answer  *Answer  // first answer of the key
	Refusal *model.Refusal
}

// CallDecision is a decision with the token of its call.
type CallDecision struct {
	Token uint64
	Decision
}

// Job is work at the log: an append of Items, if there are any, and a read
// from offset From on until the append, or the end, has been read.
type Job struct {
	Partition int
	From      int64
	RecordID  string
	Items     []Item
}

// JobResult is the result of a job.
type JobResult struct {
	Append  logsvc.AppendResult // of a job with items
	ReadErr error               // nil if the read went far enough
}

// Identity names the owner side.
type Identity struct {
	Pool    model.Pool
	Self    model.EndpointID
	Process string // random name of the process; a restarted side has a new one
}

// Disabled turn mechanisms off. Only tests and baselines set them.
type Disabled struct {
	ReadBack bool // run after the append, whatever came before it
	Epoch    bool // claims count whatever their epoch
}

// Owner decides for one partition. It belongs to the control goroutine.
type Owner struct {
	id        Identity
	switches  Disabled
	partition int
	limits    Limits
	fold      *Fold
	next      int64 // offset from which the log has to be read
	loaded    bool  // everything before next is folded and the log was up
	inflight  bool
	epochID   string // id of the own latest epoch record
	epochSent bool   // an epoch item is queued or in flight
	waiting   []*waitingCall
	queue     []queuedItem
	granted   map[uint64]grant
	abandoned map[string]Key // claims whose append is unknown and that will not run
	retryAt   time.Time
	idleSince time.Time
	seq       int
}

type waitingCall struct {
	Call
	claimID    string
	askedEpoch bool
	wantSync   bool
	synced     bool
}

type queuedItem struct {
	Item
	due time.Time // zero means at once
}

type grant struct {
	key Key
	at  Position
}

// NewOwner returns the owner of a partition with nothing read.
func NewOwner(id Identity, partition int, l Limits, sw Disabled) *Owner {
	l.anyEpoch = sw.Epoch
	return &Owner{
		id: id, switches: sw, partition: partition, limits: l, fold: NewFold(l),
		granted: map[uint64]grant{}, abandoned: map[string]Key{},
	}
}

// SetLifetime changes the time for which keys are remembered.
func (o *Owner) SetLifetime(d time.Duration) { o.limits.KeyLifetime, o.fold.limits.KeyLifetime = d, d }

// Fold returns the fold of the partition for reading.
func (o *Owner) Fold() *Fold { return o.fold }

// Request takes a call. Its decision comes from this or a later method.
func (o *Owner) Request(now time.Time, c Call) []CallDecision {
	if len(o.waiting) >= MaxWaiting {
		return []CallDecision{{c.Token, refuse(model.ReasonOverloaded, "too many calls wait for the log service")}}
	}
	o.waiting = append(o.waiting, &waitingCall{Call: c})
	return o.decide(now)
}

// Cancel ends a call that nobody waits for. Its claim, if it wins, is released.
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

// Finish records how a permitted run ended.
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
	o.enqueue(Item{Kind: KindResult, Key: g.key, Claim: g.at, Outcome: outcome, Answer: answer}, now.Add(lazyDelay))
}

func (o *Owner) enqueue(it Item, due time.Time) { o.queue = append(o.queue, queuedItem{it, due}) }

func (o *Owner) newID() string {
	o.seq++
	return fmt.Sprintf("%s-%d-%d", o.id.Process, o.partition, o.seq)
}

// decide goes through the calls that have no claim yet.
func (o *Owner) decide(now time.Time) []CallDecision {
	var out []CallDecision
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		if w.claimID == "" {
			if d, done := o.decideOne(w); done {
				out = append(out, CallDecision{w.Token, d})
				continue
			}
		}
		kept = append(kept, w)
	}
	clear(o.waiting[len(kept):])
	o.waiting = kept
	return out
}

func (o *Owner) decideOne(w *waitingCall) (Decision, bool) {
	if !o.loaded {
		return Decision{}, false
	}
	if s := o.fold.Lookup(w.Key); s != nil && !s.releasing && !o.switches.ReadBack {
		return o.repeat(w, s)
	}
	if o.fold.Full() {
		return refuse(model.ReasonOverloaded, "too many idempotency keys are remembered"), true
	}
	if o.epochSent {
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
	if w.askedEpoch || known && !w.Takeover && epoch.Owner != o.id.Self {
		r := model.Refuse(model.ReasonNotOwner, "another endpoint owns the partition of the key")
		r.Owner = epoch.Owner
		return Decision{Refusal: r}, true
	}
	w.askedEpoch = true
	o.takeEpoch()
	return Decision{}, false
}

// takeEpoch queues an epoch record. Calls wait until it is read back.
func (o *Owner) takeEpoch() {
	o.epochSent = true
	o.epochID = o.newID()
	o.enqueue(Item{Kind: KindEpoch, ID: o.epochID, Pool: o.id.Pool, Owner: o.id.Self}, time.Time{})
}

// Owns reports whether the latest epoch record that was read is the own one.
func (o *Owner) Owns() bool {
	e, ok := o.fold.Epoch(o.id.Pool)
	return ok && e.ID == o.epochID && o.epochID != ""
}

// repeat decides a call whose key the log has already decided.
func (o *Owner) repeat(w *waitingCall, s *KeyState) (Decision, bool) {
	switch {
	case s.Void():
		return refuse(model.ReasonVoided, "the key was voided before it ran; send again with a new key"), true
	case s.Fingerprint != w.Fingerprint:
		return refuse(model.ReasonDuplicate, "the key was used with another route or body"), true
	case s.Answer != nil:
		return Decision{Answer: s.Answer}, true
	case s.Outcome == model.OutcomeRan:
		return Decision{Refusal: &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonDuplicate, Detail: "the key ran; its answer is not kept"}}, true
	case !w.synced:
		w.wantSync = true // the owner before may have appended the result
		return Decision{}, false
	}
	return Decision{Refusal: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonDuplicate,
		Detail: "the key was claimed and its result is not known", RetryAfter: unknownRetryAfter}}, true
}

func refuse(reason model.Reason, detail string) Decision {
	return Decision{Refusal: model.Refuse(reason, detail)}
}

// NextJob returns the next work at the log, if there is any.
func (o *Owner) NextJob(now time.Time) (Job, bool) {
	if o.inflight {
		return Job{}, false
	}
	job := Job{Partition: o.partition, From: o.next}
	if o.loaded && o.appendDue(now) {
		o.fill(&job)
	} else if !o.needsRead(now) {
		return Job{}, false
	}
	o.inflight = true
	return job, true
}

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
		if w.wantSync {
			return true
		}
	}
	return false
}

func (o *Owner) fill(job *Job) {
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

// Feed takes records that a job has read, in offset order.
func (o *Owner) Feed(b Batch) {
	o.fold.ApplyBatch(b)
	o.next = max(o.next, b.Next)
}

// JobDone takes the result of a job after all its records were fed.
func (o *Owner) JobDone(now time.Time, job Job, res JobResult) []CallDecision {
	o.inflight = false
	var out []CallDecision
	read := res.ReadErr == nil
	if len(job.Items) > 0 {
		read = read && res.Append.State == logsvc.AppendDone && o.next > res.Append.Offset
		out = o.settle(job, res, read)
	}
	o.loaded = read
	for _, w := range o.waiting {
		w.synced, w.wantSync = w.synced || w.wantSync, false
	}
	if !read {
		o.retryAt = now.Add(resultRetry)
		out = append(out, o.refuseWaiting()...)
	}
	o.releaseAbandoned(now)
	return append(out, o.decide(now)...)
}

// settle decides the calls whose claims were in the job.
func (o *Owner) settle(job Job, res JobResult, read bool) []CallDecision {
	claims := map[string]bool{}
	var results []queuedItem
	for _, it := range job.Items {
		switch it.Kind {
		case KindEpoch:
			o.epochSent = false
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
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		if !claims[w.claimID] {
			kept = append(kept, w)
			continue
		}
		if d, done := o.settleOne(w, read); done {
			out = append(out, CallDecision{w.Token, d})
		} else {
			kept = append(kept, w)
		}
	}
	clear(o.waiting[len(kept):])
	o.waiting = kept
	return out
}

func (o *Owner) settleOne(w *waitingCall, read bool) (Decision, bool) {
	s := o.fold.Lookup(w.Key)
	switch {
	case o.switches.ReadBack:
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
	w.claimID, w.synced = "", true // another record for the key came first
	return Decision{}, false
}

// refuseWaiting refuses the calls that have no claim while the log cannot be
// used. Nothing of them was appended, so they did not run.
func (o *Owner) refuseWaiting() []CallDecision {
	var out []CallDecision
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		switch {
		case w.claimID != "":
			kept = append(kept, w)
		case w.synced:
			out = append(out, CallDecision{w.Token, Decision{Refusal: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonLogUnavailable,
				Detail: "the key was claimed and the log service cannot be read", RetryAfter: unknownRetryAfter}}})
		default:
			d := refuse(model.ReasonLogUnavailable, "the log service cannot be used")
			d.Refusal.RetryAfter = unknownRetryAfter
			out = append(out, CallDecision{w.Token, d})
		}
	}
	clear(o.waiting[len(kept):])
	o.waiting = kept
	return out
}

// releaseAbandoned gives back keys whose claim arrived after its call was
// refused. Only this process could have run them and it did not.
func (o *Owner) releaseAbandoned(now time.Time) {
	for id, key := range o.abandoned {
		if s := o.fold.Lookup(key); s != nil && s.ClaimID == id {
			delete(o.abandoned, id)
			s.releasing = true
			o.enqueue(Item{Kind: KindResult, Key: key, Claim: s.At, Outcome: model.OutcomeNotRun}, now.Add(lazyDelay))
		}
	}
}

// Tick renews the own epoch record before a quarter of the key lifetime has
// passed, so that retention does not trim it, and frees the memory of a
// partition that belongs to another owner.
func (o *Owner) Tick(now time.Time) {
	if o.loaded && !o.inflight && !o.epochSent && o.Owns() && o.fold.epochAge(o.id.Pool) > o.renewAfter() {
		o.takeEpoch()
	}
	if !o.loaded || o.inflight || len(o.waiting)+len(o.queue)+len(o.granted) > 0 {
		o.idleSince = now
		return
	}
	if !o.Owns() && now.Sub(o.idleSince) >= unloadAfter {
		o.fold, o.next, o.loaded = NewFold(o.limits), 0, false
	}
}

func (o *Owner) renewAfter() time.Duration {
	if o.limits.KeyLifetime > 0 {
		return o.limits.KeyLifetime / 4
	}
	return defaultRenew
}

// Idle reports whether nothing waits to be appended or decided.
func (o *Owner) Idle() bool { return !o.inflight && len(o.waiting)+len(o.queue)+len(o.granted) == 0 }

// Flush makes queued results due at once, before a planned stop.
func (o *Owner) Flush() {
	for i := range o.queue {
		o.queue[i].due = time.Time{}
	}
}
