package duty

import "time"

// Position is the end of the log of leases in one era of the store. Offsets are given out
// again in a later era.
type Position struct {
	Era uint64
	End int64
}

// Token is a fencing number. It consists of the era and the offset of the record with
// which the lease was taken: the store gives an offset to one record in an era and raises
// the era when it loses records, so no token is used twice, whatever was lost.
type Token uint64

// offsetBits is the number of bits of a token that hold the offset. A token stays below
// 2^53, which JSON numbers hold exactly, up to era 2^21.
const offsetBits = 32

func tokenAt(at Position) Token { return Token(at.Era<<offsetBits) + Token(at.End) + 1 }

// Lease is the record of a lease in the store. The zero value means that there is none.
type Lease struct {
	Holder   string
	Process  uint64 // distinguishes processes with one name
	Token    Token
	Era      uint64 // in which the record was sent
	Released bool   // the holder has ended its calls
}

// Timing are the times of a lease.
type Timing struct {
	Lease  time.Duration // from the sending of a renewal to the end of the lease
	Renew  time.Duration // between renewals
	Flight time.Duration // longest time that a call may be on its way
	Margin time.Duration // added to Lease before a successor takes over
	Step   time.Duration // added for each rank of the successor, so that they try in turn
}

// unset is before all times.
const unset = time.Duration(-1 << 62)

// Elector is the state machine of one router for the lease. All times are of the boot-time
// clock of its machine. A lease is held from the sending of the append that the store
// confirmed; a successor waits from the receipt of the first reply that shows the record,
// so no two clocks are compared.
type Elector struct {
	self    string
	process uint64
	timing  Timing
	started time.Duration

	known bool // seen and lease are current, as far as this router knows
	seen  Position
	lease Lease
	since time.Duration // receipt of the first reply with seen

	held      Token         // 0 if the lease is not held
	until     time.Duration // no call may be sent from then on
	renewed   time.Duration // sending of the last renewal
	lastHeld  time.Duration // before which the last call was sent
	carried   bool          // the lease was held when the store was restored
	attemptAt Position      // of the last attempt to take the lease
	attempted time.Duration // sending of the first attempt there
}

// NewElector returns an elector for the process of the named router that starts now.
func NewElector(self string, process uint64, timing Timing, now time.Duration) *Elector {
	return &Elector{self: self, process: process, timing: timing, started: now, seen: Position{End: -1}, lastHeld: unset}
}

// Append is an append of a lease record that the caller is to make.
type Append struct {
	At     Position
	Lease  Lease
	Taking bool // the lease is not held yet
	// Carried says that the lease was held without a gap when the store was restored, so
	// this process knows what was done under it until then.
	Carried bool
}

// Known reports whether the elector knows the position and the lease in the store. If not,
// the caller has to read them and call Observe.
func (e *Elector) Known() bool { return e.known }

// Seen returns the last known position and lease.
func (e *Elector) Seen() (Position, Lease) { return e.seen, e.lease }

// Observe applies a read of the store whose reply was received at the given time.
func (e *Elector) Observe(received time.Duration, at Position, l Lease) {
	if at.Era < e.seen.Era {
		return // a late reply from before the store was restored
	}
	e.enterEra(received, at.Era)
	if !e.known || at != e.seen {
		if at != e.seen {
			e.since = received
		}
		e.known, e.seen, e.lease = true, at, l
	}
	own := e.mine(l)
	switch {
	case e.held != 0 && (!own || l.Token != e.held):
		e.lose(received)
	case e.held == 0 && own && e.attemptAt.Era == at.Era && l.Token == tokenAt(e.attemptAt) && l.Era == at.Era && e.lastHeld < e.attempted:
		// The reply to the append that took the lease was lost.
		e.hold(l.Token, e.attempted)
	}
}

// mine reports whether this process sent a record that takes or renews the lease.
func (e *Elector) mine(l Lease) bool {
	return l.Holder == e.self && l.Process == e.process && !l.Released
}

// enterEra drops what was known of an earlier era.
func (e *Elector) enterEra(received time.Duration, era uint64) {
	if era <= e.seen.Era {
		return
	}
	// Nobody else can have taken the lease before the store was restored, nor since then.
	if e.held != 0 && received < e.until && e.seen.Era != 0 {
		e.carried = true
	}
	if e.held != 0 {
		e.lose(received)
	}
	e.known, e.seen, e.lease, e.since = false, Position{Era: era, End: -1}, Lease{}, received
}

// hold holds the lease from the time at which the append that the store confirmed was sent.
func (e *Elector) hold(t Token, sent time.Duration) {
	e.held, e.until, e.renewed = t, sent+e.timing.Lease-e.timing.Flight, sent
	e.carried = false
}

func (e *Elector) lose(now time.Duration) {
	e.held, e.lastHeld = 0, min(now, e.until)
}

// Holds returns the token of the lease and the time from which on no call may be sent, and
// whether the lease is held.
func (e *Elector) Holds(now time.Duration) (t Token, until time.Duration, ok bool) {
	return e.held, e.until, e.held != 0 && now < e.until
}

// CallsFrom returns the time before which no call may be sent: one with an earlier token of
// this router may still be on its way.
func (e *Elector) CallsFrom() time.Duration {
	if e.lastHeld == unset {
		return unset
	}
	return e.lastHeld + e.timing.Flight
}

// Next returns the append that is due: a renewal, or one that takes the lease. rank is the
// position of this router among those that may take it.
func (e *Elector) Next(now time.Duration, rank int) (Append, bool) {
	if e.held != 0 && now >= e.until {
		e.lose(now)
	}
	if !e.known {
		return Append{}, false
	}
	if e.held != 0 {
		return e.Renewal(), now >= e.renewed+e.timing.Renew
	}
	carried := e.carried && now < e.until
	if !carried && now < e.TakeAt(rank) {
		return Append{}, false
	}
	if e.attemptAt != e.seen {
		e.attemptAt, e.attempted = e.seen, now
	}
	l := Lease{Holder: e.self, Process: e.process, Token: tokenAt(e.seen), Era: e.seen.Era}
	return Append{At: e.seen, Lease: l, Taking: true, Carried: carried}, true
}

// TakeAt returns the time at which this router may take the lease if nothing changes.
func (e *Elector) TakeAt(rank int) time.Duration {
	if e.mine(e.lease) && e.lease.Era == e.seen.Era {
		// The newest record is of this process: after an outage of the store nobody has
		// taken the lease, which the condition of the append ensures.
		return e.since
	}
	wait := e.timing.Lease + e.timing.Margin
	due := e.since + wait + time.Duration(rank)*e.timing.Step
	if e.lease.Released && e.lease.Era == e.seen.Era {
		// The former holder has ended its calls. A released lease of an earlier era may
		// have been taken in a record that the store has lost.
		due = max(e.since+time.Duration(rank)*e.timing.Step, e.started+wait)
	}
	// A router that takes the lease again too early could be seen to alternate with the
	// one that succeeded it.
	if e.lastHeld != unset {
		due = max(due, e.lastHeld+wait)
	}
	return due
}

// Renewal returns an append that renews the lease, which must be held.
func (e *Elector) Renewal() Append {
	return Append{At: e.seen, Lease: Lease{Holder: e.self, Process: e.process, Token: e.held, Era: e.seen.Era}}
}

// Release ends the lease and returns the append that tells so. All calls must have ended.
func (e *Elector) Release(now time.Duration) Append {
	a := e.Renewal()
	a.Lease.Released = true
	e.lose(now)
	return a
}

// Succeeded applies the confirmation of an append that was sent and confirmed at the given
// times, by a reply from the given era, and reports whether the lease is held. end is the
// end of the log after the append.
func (e *Elector) Succeeded(a Append, sent, received time.Duration, at Position) bool {
	if at.Era != a.At.Era || a.At.Era != e.seen.Era {
		// The store was restored since the position was read, so the record may follow
		// others than those that were read.
		e.Failed()
		e.enterEra(received, at.Era)
		return false
	}
	e.known, e.seen, e.lease, e.since = true, at, a.Lease, received
	if a.Lease.Released {
		return false
	}
	e.hold(a.Lease.Token, sent)
	return received < e.until
}

// Failed applies an append that was refused or whose outcome is unknown. It may still be
// executed, so the position has to be read before the next one.
func (e *Elector) Failed() { e.known = false }
