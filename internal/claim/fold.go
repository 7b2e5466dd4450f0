package claim

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// KeyState is what the log says about a key.
type KeyState struct {
	At          Position
	ClaimID     string // empty if the key is void
	Fingerprint uint64
	Outcome     model.Outcome // empty while no result is known
	Answer      *Answer       // nil if the answer is not kept
	appendedMS  int64
	uncertain   bool // the epoch record was trimmed, so another claim may have won
	releasing   bool // a result not_run of this process is on its way
}

// Void reports whether the key must never run.
func (s *KeyState) Void() bool { return s.ClaimID == "" }

// Epoch is the latest epoch record of a pool in a partition.
type Epoch struct {
	Offset     int64
	ID         string
	Owner      model.EndpointID
	appendedMS int64
}

// Limits bounds the memory of one fold.
type Limits struct {
	Keys        int           // keys that are remembered; more are refused
	AnswerBytes int64         // bytes of kept answers; the oldest are dropped first
	KeyLifetime time.Duration // log time after which a key is forgotten; 0 means until it is trimmed

	anyEpoch bool // claims count whatever their epoch; only for tests
}

// Fold applies the records of one partition in offset order. Every reader of
// the same records comes to the same winner of each key.
type Fold struct {
	limits  Limits
	first   int64 // offset of the oldest retained record
	newest  int64 // largest append time seen, ms
	keys    map[Key]*KeyState
	order   []orderedKey // keys by position; expired from the front
	answers []orderedKey // keys with a kept answer, oldest first
	bytes   int64
	epochs  map[model.Pool]Epoch
}

type orderedKey struct {
	key Key
	at  Position
}

// NewFold returns the fold of a partition before its first record.
func NewFold(l Limits) *Fold {
	return &Fold{limits: l, keys: map[Key]*KeyState{}, epochs: map[model.Pool]Epoch{}}
}

// Batch is a decoded batch of records.
type Batch struct {
	First     int64 // offset of the oldest retained record
	Next      int64 // offset after the batch
	Records   []StoredRecord
	Malformed []int64 // offsets of records that were skipped
}

// StoredRecord is a record with its place in the stream.
type StoredRecord struct {
	Offset     int64
	AppendedMS int64
	Record     Record
}

// DecodeBatch decodes the records of a batch. Malformed ones are skipped.
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

// ForKey returns the batch with the epochs and the items of one key.
func (b Batch) ForKey(key Key) Batch {
	out := b
	out.Records = make([]StoredRecord, len(b.Records))
	for i, r := range b.Records {
		r.Record.Items = slices.Clone(r.Record.Items)
		for j, it := range r.Record.Items {
			if it.Kind != KindEpoch && it.Key != key {
				r.Record.Items[j].Kind = kindOther // keeps the positions of the others
			}
		}
		out.Records[i] = r
	}
	return out
}

// ApplyBatch applies a batch of records.
func (f *Fold) ApplyBatch(b Batch) {
	f.trim(b.First)
	for _, r := range b.Records {
		f.Apply(r.Offset, r.AppendedMS, r.Record)
	}
}

// Apply applies the record at offset, appended at ms by the service's clock.
func (f *Fold) Apply(offset, ms int64, rec Record) {
	f.newest = max(f.newest, ms)
	for i, it := range rec.Items {
		at := Position{Offset: offset, Index: i}
		switch it.Kind {
		case KindEpoch:
			f.epochs[it.Pool] = Epoch{Offset: offset, ID: it.ID, Owner: it.Owner, appendedMS: ms}
		case KindClaim:
			f.claim(at, ms, it)
		case KindVoid:
			f.add(it.Key, &KeyState{At: at, appendedMS: ms})
		case KindResult:
			f.result(it)
		}
	}
	f.expire()
}

func (f *Fold) claim(at Position, ms int64, it Item) {
	ep, known := f.epochs[it.Pool]
	uncertain := false
	if f.limits.anyEpoch {
		known, ep.Offset, ep.ID = true, it.Epoch, "any"
	}
	if !known || it.Epoch > ep.Offset {
		// The epoch record was trimmed. The claim may have lost to a later
		// epoch that was trimmed too, so the key is only blocked by it.
		if it.Epoch >= f.first {
			return
		}
		uncertain = true
		f.epochs[it.Pool] = Epoch{Offset: it.Epoch, Owner: it.Owner, appendedMS: ms}
	} else if it.Epoch < ep.Offset {
		return
	} else {
		uncertain = ep.ID == ""
	}
	f.add(it.Key, &KeyState{At: at, ClaimID: it.ID, Fingerprint: it.Fingerprint, appendedMS: ms, uncertain: uncertain})
}

// add stores the state of a key unless an earlier record decided it.
func (f *Fold) add(key Key, s *KeyState) {
	if _, taken := f.keys[key]; taken {
		return
	}
	f.keys[key] = s
	f.order = append(f.order, orderedKey{key, s.At})
}

func (f *Fold) result(it Item) {
	s := f.keys[it.Key]
	if s == nil || s.Void() {
		return
	}
	own := s.At == it.Claim
	if !own && !(s.uncertain && it.Outcome != model.OutcomeNotRun) {
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
	f.bytes += int64(len(answer.Body))
	f.answers = append(f.answers, orderedKey{key, s.At})
	for f.bytes > f.limits.AnswerBytes && len(f.answers) > 0 {
		oldest := f.answers[0]
		f.answers = f.answers[1:]
		if s := f.keys[oldest.key]; s != nil && s.At == oldest.at {
			f.forgetAnswer(s)
		}
	}
}

func (f *Fold) forgetAnswer(s *KeyState) {
	if s.Answer != nil {
		f.bytes -= int64(len(s.Answer.Body))
		s.Answer = nil
	}
}

func (f *Fold) drop(key Key, s *KeyState) {
	f.forgetAnswer(s)
	delete(f.keys, key)
}

// trim notes that records before first are gone from the log.
func (f *Fold) trim(first int64) {
	f.first = max(f.first, first)
	f.expire()
}

// expire forgets keys whose record was trimmed or is older than the lifetime.
func (f *Fold) expire() {
	for len(f.order) > 0 {
		o := f.order[0]
		s := f.keys[o.key]
		if s != nil && s.At == o.at {
			old := f.limits.KeyLifetime > 0 && f.newest-s.appendedMS > f.limits.KeyLifetime.Milliseconds()
			if o.at.Offset >= f.first && !old {
				return
			}
			f.drop(o.key, s)
		}
		f.order = f.order[1:]
	}
}

// Lookup returns the state of a key, or nil. Callers must not change it.
func (f *Fold) Lookup(key Key) *KeyState { return f.keys[key] }

// Epoch returns the latest epoch of a pool and whether there is one.
func (f *Fold) Epoch(pool model.Pool) (Epoch, bool) {
	e, ok := f.epochs[pool]
	return e, ok
}

// epochAge returns the log time since the latest epoch record of a pool.
func (f *Fold) epochAge(pool model.Pool) time.Duration {
	return time.Duration(f.newest-f.epochs[pool].appendedMS) * time.Millisecond
}

// Len returns the number of keys that are remembered.
func (f *Fold) Len() int { return len(f.keys) }

// AnswerBytes returns the bytes of kept answers.
func (f *Fold) AnswerBytes() int64 { return f.bytes }

// Full reports whether no further key can be remembered.
func (f *Fold) Full() bool { return len(f.keys) >= f.limits.Keys }
