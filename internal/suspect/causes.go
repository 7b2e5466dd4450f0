package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CauseThreshold is the number of crashes at which requests with a cause are
	// refused. Other requests that were in flight at a crash share it, but they are
	// answered elsewhere before they meet two more.
	CauseThreshold = 3
	// MinCrashInterval is the time from which two crashes count as two. When a data
	// centre loses power, all its endpoints end at the same moment, and requests that
	// were in flight at several of them did not cause that.
	MinCrashInterval = 300 * time.Millisecond
	// sameCrash is the time within which reports on one endpoint are of one crash, if the
	// start of its process is not known. An endpoint takes longer to start again.
	sameCrash = 2 * time.Second
	// trialInterval is the time from the last crash to the first request that is let
	// through again. It doubles with each one.
	trialInterval = 10 * time.Second
	// earlyTrialInterval is the time to the first one if the crashes were not
	// MinCrashInterval apart, so that a request is refused for a short time only if a
	// data centre lost power while several callers waited for it.
	earlyTrialInterval = time.Second
	// maxTrials is the number of requests that are let through. The platform allows three
	// runs of a request that crashed three endpoints; one is left for a request that was
	// already on its way.
	maxTrials = 2
	// severalTrialFactor is the factor on the wait for a trial of a request with several
	// refused properties.
	severalTrialFactor = 2
	// trialStep is how much later each router may send a trial than the one before it in
	// the order for its property, up to maxTrialDelay. The first one may get no request
	// with the property for long, and each claim that comes too late costs a read of the
	// store.
	trialStep     = 200 * time.Millisecond
	maxTrialDelay = 5 * time.Second
	// refusedLifetime is how long a property stays refused after its last crash.
	refusedLifetime = 24 * time.Hour
	// MaxCausesPerRequest is the number of properties of one request that are counted at a
	// crash. The longest prompt that fits into a head of 16 KB has 4,096 parts, and
	// one property is the request as a whole.
	MaxCausesPerRequest = 4097
	// MaxCauses is the maximum number of causes in a table: those of four such requests,
	// since others are in flight at a crash. MaxCauseCrashes is that of the crashes of one.
	MaxCauses       = 4 * MaxCausesPerRequest
	MaxCauseCrashes = 8
)

// partBit tells the keys of prompt parts from those of requests.
const partBit = 1

// KeyOfPart and KeyOfRequest return the key of a prompt part or a request with the given
// hash.
func KeyOfPart(hash uint64) uint64    { return hash | partBit }
func KeyOfRequest(hash uint64) uint64 { return hash &^ partBit }

// SampleCauses returns the properties of a request that are counted at the crash of a process: all
// of them, or the first one and MaxCausesPerRequest-1 of the others. Which of the others
// depends on the process, so that none is left out at each crash. It may reorder keys.
func SampleCauses(keys []uint64, process uint32) []uint64 {
	if len(keys) <= MaxCausesPerRequest {
		return keys
	}
	sample(keys[1:], MaxCausesPerRequest-1, uint64(process))
	return keys[:MaxCausesPerRequest]
}

// CauseCrash is a crash of an endpoint while a request that had a certain property was
// in flight and had no complete answer yet. Key stands for the property: a prompt part, or
// the request as a whole.
type CauseCrash struct {
	Key      uint64
	Endpoint uint32 // ProcessHash of the endpoint
	At       time.Time
}

// isReportOf reports whether c and o are the same crash: a process crashes once.
func (c CauseCrash) isReportOf(o CauseCrash) bool {
	return c.Endpoint == o.Endpoint && (c.Endpoint&processBit != 0 || c.At.Sub(o.At).Abs() < sameCrash)
}

// cause is what is known of one property.
type cause struct {
	key     uint64
	crashes []CauseCrash // in the order of time
	trials  int          // requests that were let through since it reached the threshold
	tried   time.Time    // when the last one was, or the last attempt to claim one
}

// Causes finds the properties of requests that crash each endpoint which runs them. A
// property is cleared by a complete answer, without an error, to a request that has it.
// Causes belongs to the control goroutine.
type Causes struct {
	byKey map[uint64]*cause
	// soundAt is when properties were answered last. A crash before that may be reported
	// later, on another path.
	soundAt map[uint64]time.Time
}

// NewCauses returns an empty table.
func NewCauses() *Causes {
	return &Causes{byKey: map[uint64]*cause{}, soundAt: map[uint64]time.Time{}}
}

// Add records a crash and reports whether it is new.
func (t *Causes) Add(now time.Time, c CauseCrash) bool {
	if at, sound := t.soundAt[c.Key]; sound && !c.At.After(at) || now.Sub(c.At) >= refusedLifetime {
		return false
	}
	s := t.byKey[c.Key]
	if s == nil {
		if len(t.byKey) >= MaxCauses {
			t.evict()
		}
		s = &cause{key: c.Key}
		t.byKey[c.Key] = s
	}
	if slices.ContainsFunc(s.crashes, c.isReportOf) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b CauseCrash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	s.crashes = trimCrashes(s.crashes)
	return true
}

// evict removes an eighth of the table: the properties with the fewest crashes first and
// refused ones last, and of those the ones whose last crashes are the oldest. Refused
// properties are not sent, so theirs are old, while each crash adds all requests that
// were in flight. The order among those of one crash differs from crash to crash, so that
// no property always goes first.
func (t *Causes) evict() {
	type candidate struct {
		key    uint64
		weight int
		last   time.Time
		tie    uint64
	}
	order := make([]candidate, 0, len(t.byKey))
	for key, s := range t.byKey {
		p := candidate{key, s.separateCrashes(), s.last(), 0}
		if s.refused() {
			p.weight = CauseThreshold
		}
		p.tie = scramble(key, uint64(p.last.UnixNano()))
		order = append(order, p)
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), a.last.Compare(b.last), cmp.Compare(a.tie, b.tie))
	})
	for _, p := range order[:MaxCauses/8] {
		delete(t.byKey, p.key)
	}
}

// last returns the time of the last crash.
func (s *cause) last() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].At
}

// separateCrashes returns the number of crashes that are MinCrashInterval apart.
func (s *cause) separateCrashes() (n int) {
	counted := time.Time{}
	for _, c := range s.crashes {
		if n == 0 || c.At.Sub(counted) >= MinCrashInterval {
			n, counted = n+1, c.At
		}
	}
	return n
}

// trimCrashes removes crashes from a list, in the order of time, until MaxCauseCrashes are
// left: those that separateCrashes does not count first, and then the oldest.
func trimCrashes(list []CauseCrash) []CauseCrash {
	for len(list) > MaxCauseCrashes {
		drop := 0
		for i, counted := 1, 0; i < len(list); i++ {
			if list[i].At.Sub(list[counted].At) < MinCrashInterval {
				drop = i
				break
			}
			counted = i
		}
		list = slices.Delete(list, drop, drop+1)
	}
	return list
}

// refused reports whether requests with the property are refused. Many sound requests in
// flight at one moment may share a prompt part, but few are copies of one request, so for
// these each crash counts: callers may send copies together.
func (s *cause) refused() bool {
	return s.separateCrashes() >= CauseThreshold || s.key&partBit == 0 && len(s.crashes) >= CauseThreshold
}

// trialWait returns the time from the last crash or trial to the next trial.
func (s *cause) trialWait() time.Duration {
	if s.trials == 0 && s.separateCrashes() < CauseThreshold {
		return earlyTrialInterval
	}
	return trialInterval << min(s.trials, 6)
}

// Clear records that a request with the property was answered at a time, and reports
// whether there were crashes to forget.
func (t *Causes) Clear(key uint64, at time.Time) bool {
	if len(t.soundAt) >= MaxCauses {
		t.evictSound()
	}
	if at.After(t.soundAt[key]) {
		t.soundAt[key] = at
	}
	s := t.byKey[key]
	if s == nil {
		return false
	}
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c CauseCrash) bool { return !c.At.After(at) })
	if len(s.crashes) == 0 {
		delete(t.byKey, key)
	}
	return len(s.crashes) < before
}

// evictSound removes the eighth of the answered properties whose answers are the oldest.
func (t *Causes) evictSound() {
	keys := slices.SortedFunc(maps.Keys(t.soundAt), func(a, b uint64) int {
		return cmp.Or(t.soundAt[a].Compare(t.soundAt[b]), cmp.Compare(a, b))
	})
	for _, k := range keys[:MaxCauses/8] {
		delete(t.soundAt, k)
	}
}

// NearThreshold reports whether a property is refused or would be after one more crash, so
// that other routers need to know that it is sound.
func (t *Causes) NearThreshold(key uint64) bool {
	s := t.byKey[key]
	return s != nil && (s.refused() || s.separateCrashes() >= CauseThreshold-1)
}

// Count returns the number of crashes that are known of a property.
func (t *Causes) Count(key uint64) int {
	if s := t.byKey[key]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// Crashes returns the crashes of one property, or those of all if key is 0.
func (t *Causes) Crashes(key uint64) (out []CauseCrash) {
	if s := t.byKey[key]; s != nil {
		return slices.Clone(s.crashes)
	}
	if key == 0 {
		for _, k := range slices.Sorted(maps.Keys(t.byKey)) {
			out = append(out, t.byKey[k].crashes...)
		}
	}
	return out
}

// Record is what the store holds of a refused property.
type Record struct {
	Key     uint64
	Crashes []CauseCrash // MaxCauseCrashes at most; none if the property is no longer refused
	Trials  int          // requests that were let through since it is refused
}

// Record returns the record of a property, without crashes if it is not refused.
func (t *Causes) Record(key uint64) Record {
	out := Record{Key: key}
	if s := t.byKey[key]; s != nil && s.refused() {
		out.Crashes, out.Trials = slices.Clone(s.crashes), s.trials
	}
	return out
}

// last returns the time of the last crash.
func (r Record) last() (at time.Time) {
	for _, c := range r.Crashes {
		if c.At.After(at) {
			at = c.At
		}
	}
	return at
}

// Update returns the record to store in place of r for a router whose own record is
// newer, and whether that differs from r in what other routers need. A record without
// crashes, of a property that is no longer refused, replaces any.
func (r Record) Update(newer Record) (Record, bool) {
	if len(newer.Crashes) == 0 || len(r.Crashes) == 0 {
		return newer, len(newer.Crashes) != len(r.Crashes)
	}
	out := Record{Key: r.Key, Crashes: slices.Clone(r.Crashes), Trials: max(r.Trials, newer.Trials)}
	for _, c := range newer.Crashes {
		if !slices.ContainsFunc(out.Crashes, c.isReportOf) {
			out.Crashes = append(out.Crashes, c)
		}
	}
	slices.SortStableFunc(out.Crashes, func(a, b CauseCrash) int { return a.At.Compare(b.At) })
	out.Crashes = trimCrashes(out.Crashes)
	// Routers may differ a little on the time of one crash.
	return out, out.Trials > r.Trials || out.last().Sub(r.last()) >= sameCrash
}

// Merge adds what another router recorded.
func (t *Causes) Merge(now time.Time, r Record) {
	for _, c := range r.Crashes {
		if c.At.After(now) { // by the clock of another instance
			c.At = now
		}
		t.Add(now, c)
	}
	if s := t.byKey[r.Key]; s != nil {
		s.trials = max(s.trials, r.Trials)
	}
}

// DueTrial reports whether one request with these refused properties is due to be sent,
// which shows whether endpoints still crash. All of them must be due, and several at once
// only after severalTrialFactor times the wait: a request with one of them alone tells
// more, and deadly requests must not use up the trials of a property that sound requests
// share. rank is the position of this router in the order in which routers may send the
// trial. The records count it. Since several routers may take a trial for due, each must
// claim it by storing the records before it sends, and Merge the records then.
func (t *Causes) DueTrial(now time.Time, keys []uint64, rank int) ([]Record, bool) {
	factor := time.Duration(1)
	if len(keys) > 1 {
		factor = severalTrialFactor
	}
	for _, key := range keys {
		s := t.byKey[key]
		if s == nil || s.trials >= maxTrials {
			return nil, false
		}
		since := s.last()
		if s.tried.After(since) {
			since = s.tried
		}
		if now.Sub(since) < factor*s.trialWait()+min(time.Duration(rank)*trialStep, maxTrialDelay) {
			return nil, false
		}
	}
	var out []Record
	for _, key := range keys {
		t.byKey[key].tried = now
		r := t.Record(key)
		r.Trials++
		out = append(out, r)
	}
	return out, true
}

// Sweep removes the properties whose last crash is older than Lifetime, or
// refusedLifetime if they are refused, and reports whether there were any.
func (t *Causes) Sweep(now time.Time) bool {
	before := len(t.byKey)
	maps.DeleteFunc(t.soundAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= Lifetime })
	maps.DeleteFunc(t.byKey, func(_ uint64, s *cause) bool {
		age := now.Sub(s.last())
		return age >= refusedLifetime || age >= Lifetime && !s.refused()
	})
	return len(t.byKey) != before
}

// CauseView is a published state of Causes: the properties with a crash, and whether
// requests that have them are refused. It is immutable.
type CauseView map[uint64]bool

// View returns the state of the table.
func (t *Causes) View() CauseView {
	if len(t.byKey) == 0 {
		return nil
	}
	v := make(CauseView, len(t.byKey))
	for k, s := range t.byKey {
		v[k] = s.refused()
	}
	return v
}
