package claim

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// KeyState is the state of a key according to the log.
type KeyState struct {
	At          Position // of the claim or void that decided the key
	ClaimID     string   // empty if the key is void
	Fingerprint uint64
	Outcome     model.Outcome // empty while no result is known
	Answer      *Answer       // nil if no answer is stored
	appendedMS  int64
	unverified  bool // the epoch record was trimmed, so another claim may have won
	releasing   bool // this process is about to append a result not_run
}

// Void reports whether the key is void and must never run.
func (s *KeyState) Void() bool { return s.ClaimID == "" }

// Epoch is the latest epoch record of a pool in a partition.
type Epoch struct {
	Offset     int64
	ID         string
	Owner      model.EndpointID
	appendedMS int64
}

// Limits bounds the memory of a fold.
type Limits struct {
	Keys        int           // maximum number of keys; requests with further keys are refused
	AnswerBytes int64         // maximum bytes of stored answers; the oldest are dropped first
	KeyLifetime time.Duration // age, by append times, at which a key expires; 0 means only when its record is trimmed

	ignoreEpoch bool // claims are valid in any epoch; only for tests
}

// Fold is the state that results from applying the records of one partition in
// offset order. All readers of the same records agree on the winner of each key.
type Fold struct {
	limits      Limits
	first       int64 // offset of the oldest retained record
	newestMS    int64 // latest append time, Unix ms
	keys        map[Key]*KeyState
	keyQueue    []queuedKey // keys by position; they expire from the front
	answerQueue []queuedKey // keys with a stored answer, oldest first
	answerBytes int64
	epochs      map[model.Pool]Epoch
}

type queuedKey struct {
	key Key
	at  Position
}

// NewFold returns the fold of a partition before any record is applied.
func NewFold(l Limits) *Fold {
	return &Fold{limits: l, keys: map[Key]*KeyState{}, epochs: map[model.Pool]Epoch{}}
}

// Batch is a decoded batch of records.
type Batch struct {
	First     int64 // offset of the oldest retained record
	Next      int64 // offset after the batch
	Records   []StoredRecord
	Malformed []int64 // offsets of malformed records, which were skipped
}

// StoredRecord is a record with its offset and append time in the stream.
type StoredRecord struct {
	Offset     int64
	AppendedMS int64
	Record     Record
}

// DecodeBatch decodes the records of a batch. Malformed records are skipped.
func DecodeBatch(b logsvc.Batch) Batch {
	out := Batch{First: b.First, Next: b.Next}
	for _, r := range b.Records {
		rec, err := Decode(r.Data)
		if err != nil {
			out.Malformed = append(out.Malformed, r.Offset)
			continue
		}
		out.Records = append(out.Records, StoredRecord{r.Offset, r.AppendedMS, rec})
	}
	return out
}

// ForKey returns a copy of the batch in which only the epochs and the items of
// key are effective.
func (b Batch) ForKey(key Key) Batch {
	out := b
	out.Records = make([]StoredRecord, len(b.Records))
	for i, r := range b.Records {
		r.Record.Items = slices.Clone(r.Record.Items)
		for j, it := range r.Record.Items {
			if it.Kind != KindEpoch && it.Key != key {
				r.Record.Items[j].Kind = kindIgnored // not removed, so that the positions of other items stay
			}
		}
		out.Records[i] = r
	}
	return out
}

// ApplyBatch applies a batch of records and expires the keys whose records were
// trimmed.
func (f *Fold) ApplyBatch(b Batch) {
	f.trim(b.First)
	for _, r := range b.Records {
		f.Apply(r.Offset, r.AppendedMS, r.Record)
	}
}

// Apply applies the record at offset that was appended at ms, Unix milliseconds by
// the clock of the log service.
func (f *Fold) Apply(offset, ms int64, rec Record) {
	f.newestMS = max(f.newestMS, ms)
	for i, it := range rec.Items {
		at := Position{Offset: offset, Index: i}
		switch it.Kind {
		case KindEpoch:
			f.epochs[it.Pool] = Epoch{Offset: offset, ID: it.ID, Owner: it.Owner, appendedMS: ms}
		case KindClaim:
			f.applyClaim(at, ms, it)
		case KindVoid:
			f.add(it.Key, &KeyState{At: at, appendedMS: ms})
		case KindResult:
			f.applyResult(it)
		}
	}
	f.expire()
}

func (f *Fold) applyClaim(at Position, ms int64, it Item) {
	ep, known := f.epochs[it.Pool]
	unverified := false
	if f.limits.ignoreEpoch {
		known, ep.Offset, ep.ID = true, it.Epoch, "any"
	}
	if !known || it.Epoch > ep.Offset {
		// The epoch record was trimmed. A later epoch, also trimmed, may have
		// invalidated the claim, so the claim blocks the key but does not prove that
		// it won.
		if it.Epoch >= f.first {
			return
		}
		unverified = true
		f.epochs[it.Pool] = Epoch{Offset: it.Epoch, Owner: it.Owner, appendedMS: ms}
	} else if it.Epoch < ep.Offset {
		return
	} else {
		unverified = ep.ID == ""
	}
	f.add(it.Key, &KeyState{At: at, ClaimID: it.ID, Fingerprint: it.Fingerprint, appendedMS: ms, unverified: unverified})
}

// add sets the state of a key unless an earlier record decided it.
func (f *Fold) add(key Key, s *KeyState) {
	if _, taken := f.keys[key]; taken {
		return
	}
	f.keys[key] = s
	f.keyQueue = append(f.keyQueue, queuedKey{key, s.At})
}

// applyResult applies a result to the claim that it names. For an unverified key it
// also accepts the result of another claim, which may have won, unless the outcome
// is not_run.
func (f *Fold) applyResult(it Item) {
	s := f.keys[it.Key]
	if s == nil || s.Void() {
		return
	}
	matches := s.At == it.Claim
	if !matches && !(s.unverified && it.Outcome != model.OutcomeNotRun) {
		return
	}
	if it.Outcome == model.OutcomeNotRun {
		f.drop(it.Key, s)
		return
	}
	f.setResult(it.Key, s, it.Outcome, it.Answer)
}

func (f *Fold) setResult(key Key, s *KeyState, outcome model.Outcome, answer *Answer) {
	if s.Outcome == "" || s.Outcome == model.OutcomeUnknown {
		s.Outcome = outcome
	}
	if answer == nil || s.Answer != nil {
		return
	}
	s.Answer = answer
	f.answerBytes += int64(len(answer.Body))
	f.answerQueue = append(f.answerQueue, queuedKey{key, s.At})
	for f.answerBytes > f.limits.AnswerBytes && len(f.answerQueue) > 0 {
		oldest := f.answerQueue[0]
		f.answerQueue = f.answerQueue[1:]
		if s := f.keys[oldest.key]; s != nil && s.At == oldest.at {
			f.dropAnswer(s)
		}
	}
}

func (f *Fold) dropAnswer(s *KeyState) {
	if s.Answer != nil {
		f.answerBytes -= int64(len(s.Answer.Body))
		s.Answer = nil
	}
}

func (f *Fold) drop(key Key, s *KeyState) {
	f.dropAnswer(s)
	delete(f.keys, key)
}

// trim sets the offset of the oldest retained record and expires keys.
func (f *Fold) trim(first int64) {
	f.first = max(f.first, first)
	f.expire()
}

// expire drops the keys whose record was trimmed or is older than KeyLifetime.
func (f *Fold) expire() {
	for len(f.keyQueue) > 0 {
		o := f.keyQueue[0]
		s := f.keys[o.key]
		if s != nil && s.At == o.at {
			old := f.limits.KeyLifetime > 0 && f.newestMS-s.appendedMS > f.limits.KeyLifetime.Milliseconds()
			if o.at.Offset >= f.first && !old {
				return
			}
			f.drop(o.key, s)
		}
		f.keyQueue = f.keyQueue[1:]
	}
}

// Lookup returns the state of a key, or nil. Callers must not change it.
func (f *Fold) Lookup(key Key) *KeyState { return f.keys[key] }

// Epoch returns the latest epoch of a pool, and false if none is known.
func (f *Fold) Epoch(pool model.Pool) (Epoch, bool) {
	e, ok := f.epochs[pool]
	return e, ok
}

// epochAge returns the time between the appends of the latest epoch record of a
// pool and of the latest record.
func (f *Fold) epochAge(pool model.Pool) time.Duration {
	return time.Duration(f.newestMS-f.epochs[pool].appendedMS) * time.Millisecond
}

// Len returns the number of keys.
func (f *Fold) Len() int { return len(f.keys) }

// AnswerBytes returns the bytes of stored answers.
func (f *Fold) AnswerBytes() int64 { return f.answerBytes }

// Full reports whether the limit on keys is reached.
func (f *Fold) Full() bool { return len(f.keys) >= f.limits.Keys }
