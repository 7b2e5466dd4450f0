package admission

import (
	"math"
	"time"
)

// advance derives the threshold from the load and the demand that are known at now.
func (p *pool) advance(now time.Time, load Load) {
	dt := now.Sub(p.ticked)
	first := p.ticked.IsZero()
	p.ticked = now
	p.load = load
	if first {
		p.stepped, p.occupancy = now, startOccupancy(load.Stated)
		return
	}
	if load.Slots <= 0 {
		p.active, p.evidence = false, false
		return
	}
	p.average(dt)
	p.averageWorkspaces(dt)
	if dt < maxTick {
		p.countLate(now)
	}
	p.expirePeers(now)
	p.evidence = p.overloaded()
	p.setFree(now)
	p.setActive(now)
	if !p.active {
		p.fair = fairness{}
		p.setShare(now)
		p.occupancy = startOccupancy(load.Stated)
		p.refused = false
		return
	}
	p.adapt(now)
	p.setAdmitted()
	p.setFair()
	p.setShare(now)
	p.refused = false
}

func startOccupancy(stated bool) float64 {
	if stated {
		return startStated
	}
	return startUnstated
}

// average updates the averages of arrivals and lets the sums of results decay.
func (p *pool) average(dt time.Duration) {
	s := min(dt.Seconds(), 1)
	if s <= 0 {
		return
	}
	keep := math.Exp(-s / demandTime.Seconds())
	// A report that stands for a long time must not be the sample of a moment.
	keepLong := math.Exp(-s / max(demandTime, p.load.ReportInterval).Seconds())
	for i := range Classes {
		p.steady[i] = keepLong*p.steady[i] + (1-keepLong)*p.arrivedWork[i]/s
		p.demand[i] = keep*p.demand[i] + (1-keep)*p.arrivedWork[i]/s
		p.rate[i] = keep*p.rate[i] + (1-keep)*p.arrived[i]/s
	}
	if rate := sum(p.rate); rate > 0 {
		p.work = sum(p.demand) / rate
	}
	p.rejected, p.attempts = keep*p.rejected, keep*p.attempts
	p.arrivedWork, p.arrived = [Classes]float64{}, [Classes]float64{}
	keep = math.Exp(-s / stretchTime.Seconds())
	p.service, p.ended = keep*p.service, keep*p.ended
	p.late, p.onTime = p.late*math.Exp(-s/resultTime.Seconds()), p.onTime*math.Exp(-s/resultTime.Seconds())
}

func sum(list [Classes]float64) (total float64) {
	for _, v := range list {
		total += v
	}
	return total
}

// maxTick is the time between two ticks from which the router has been frozen, or has got no
// request. Requests in flight say nothing then.
const maxTick = time.Second

// countLate counts the requests in flight whose latency target has passed without a first
// event. Their results would come too late to act on.
func (p *pool) countLate(now time.Time) {
	for _, t := range p.tickets {
		if !t.begun && !t.counted && t.target > 0 && now.Sub(t.began) > t.target {
			t.counted = true
			p.late++
		}
	}
}

// minReportLifetime is how long a report counts at least; otherwise it counts for eight
// intervals. That is twice as long as load reports do, so that a router knows that it is cut
// off before reports expire one by one: it would take the share of those that are silent.
const minReportLifetime = 3 * time.Second

func (p *pool) reportLifetime() time.Duration {
	return max(minReportLifetime, 8*p.load.Interval, 8*p.load.ReportInterval)
}

func (p *pool) expirePeers(now time.Time) {
	for name, h := range p.peers {
		if now.Sub(h.at) > p.reportLifetime() {
			delete(p.peers, name)
		}
	}
}

func (p *pool) lateShare() float64 {
	if p.late+p.onTime < minResults {
		return 0
	}
	return p.late / (p.late + p.onTime)
}

func (p *pool) rejectedShare() float64 {
	if p.attempts < minResults {
		return 0
	}
	return p.rejected / p.attempts
}

// overloaded reports whether this router has evidence that the pool is overloaded.
func (p *pool) overloaded() bool {
	l := p.load
	if l.Stated && (l.Waiting >= waitingEvidence*l.Slots || l.Taken >= takenEvidence*l.Slots) {
		return true
	}
	if !l.Stated && l.Taken >= takenEvidenceUnstated*l.Slots {
		return true
	}
	return l.Taken >= freeOccupancy*l.Slots && (p.lateShare() >= lateEvidence || p.rejectedShare() >= rejectedEvidence)
}

// setFree records since when capacity is free.
func (p *pool) setFree(now time.Time) {
	waits := p.load.Waiting > 0 && p.load.Stated
	if p.load.Taken >= freeOccupancy*p.load.Slots || waits {
		p.freeFrom = time.Time{}
	} else if p.freeFrom.IsZero() {
		p.freeFrom = now
	}
}

// setActive decides whether the threshold applies.
func (p *pool) setActive(now time.Time) {
	overloaded := 0
	for _, h := range p.peers {
		if h.Overloaded {
			overloaded++
		}
	}
	evidence := p.evidence || overloaded > 0 && float64(overloaded) >= overloadedPeers*float64(len(p.peers))
	switch {
	case evidence || p.refused:
		p.calmFrom = time.Time{}
		p.active = p.active || evidence
	case p.calmFrom.IsZero():
		p.calmFrom = now
	case now.Sub(p.calmFrom) >= calmTime:
		p.active = false
	}
}

// adapt moves the occupancy target by the results, and towards that of the peers.
func (p *pool) adapt(now time.Time) {
	if now.Sub(p.stepped) >= stepTime {
		p.stepped = now
		p.step(p.isolated(now))
	}
	if n := float64(len(p.peers)); n > 0 {
		mean := 0.0
		for _, h := range p.peers {
			mean += p.clamped(h.Occupancy) / n
		}
		p.occupancy += consensusGain * (mean - p.occupancy)
	}
	p.occupancy = p.clamped(p.occupancy)
}

// cutOff reports whether this router hears none of its peers.
func (p *pool) cutOff() bool { return p.load.Live == 0 && p.load.Routers > 1 }

// alone reports whether this router divides its share of the capacity among its own demand:
// it knows no other, or reports are so rare that a step in demand shows earlier in its own.
func (p *pool) alone() bool {
	return len(p.peers) == 0 || p.cutOff() || p.load.ReportInterval > maxReportInterval
}

// maxReportInterval is the interval between reports up to which the demand that peers report
// counts for the threshold. Beyond it, it counts for the shares only.
const maxReportInterval = time.Second

// isolated reports whether this router is cut off for a while. It is then no stricter than
// before.
func (p *pool) isolated(now time.Time) bool {
	return p.cutOff() && !p.heardAt.IsZero() && now.Sub(p.heardAt) >= isolationTime
}

// clamped returns an occupancy target within its bounds.
func (p *pool) clamped(occupancy float64) float64 {
	if p.load.Stated {
		return min(max(occupancy, minOccupancyStated), maxOccupancyStated)
	}
	return min(max(occupancy, minOccupancyUnstated), maxOccupancyUnstated)
}

// step lowers the occupancy target if results are late, endpoints reject, or requests wait
// while results do not show that this does no harm. It raises the target while results are
// in time.
func (p *pool) step(isolated bool) {
	late := p.lateShare()
	waits := p.load.Stated && p.load.Waiting >= waitingEvidence*p.load.Slots && !p.healthy()
	switch {
	case p.bad() || waits:
		if !isolated && p.taken() <= atTarget*p.occupancy*p.load.Slots {
			p.occupancy *= occupancyDecrease
		}
	case late < lateNone && p.late+p.onTime >= minResults:
		p.occupancy *= occupancyIncrease
	}
}

// total returns the demand of all routers whose demand is known.
func (p *pool) total() [Classes]float64 {
	out := p.demand
	if p.alone() {
		return out
	}
	for _, h := range p.peers {
		for i, d := range h.Demand {
			out[i] += d
		}
	}
	return out
}

const minStretch, maxStretch = 0.2, 50

// stretch returns how long requests take at this router, relative to their work.
func (p *pool) stretch() float64 {
	return min(max((p.service+stretchPrior)/(p.ended+stretchPrior), minStretch), maxStretch)
}

// capacity returns the work a second that the routers whose demand is known may admit: as
// much as keeps the target of requests in flight, by the time that requests take, more
// while fewer are in flight, and less while more are.
func (p *pool) capacity() float64 {
	stretch := p.stretch()
	for _, h := range p.peers {
		stretch += min(max(h.Stretch, minStretch), maxStretch)
	}
	stretch /= float64(1 + len(p.peers))
	target := p.occupancy * p.load.Slots
	missing, within := target-p.taken(), fillTime
	if missing < 0 {
		within = drainTime
	}
	least := 0.0
	if p.contradicts(target) {
		least = contradicted * target / stretch
	}
	whole := max(least, target/stretch+missing*p.work/within.Seconds())
	if p.alone() {
		return p.share * whole
	}
	return whole
}

// contradicts reports whether the own requests in flight and results show no overload,
// whatever endpoints state. Without results, as after a time in which all was refused, far
// fewer requests than the share must be in flight.
func (p *pool) contradicts(target float64) bool {
	least := p.share * target
	if !p.healthy() {
		least *= contradicted
	}
	return p.load.Stated && !p.bad() && float64(len(p.tickets)) < least
}

// contradicted is the part of the capacity that is admitted at least in that case.
const contradicted = 0.5

// taken returns the requests in flight at the endpoints of the pool: those that are known,
// or while results are bad what the requests of this router suggest, if that is more.
func (p *pool) taken() float64 {
	if !p.bad() || p.share*p.load.Slots < minOwnSlots {
		return p.load.Taken
	}
	return max(p.load.Taken, float64(len(p.tickets))/p.share)
}

// bad reports whether own results show that requests are answered late or rejected.
func (p *pool) bad() bool {
	return p.lateShare() > lateTolerated || p.rejectedShare() > rejectedEvidence
}

// healthy reports whether enough own results show that requests are answered in time.
func (p *pool) healthy() bool {
	return p.late+p.onTime >= minResults && p.lateShare() < lateHealthy
}

// usualTime is the time over which the threshold is averaged that a router keeps to at
// least when it loses contact to its peers.
const usualTime = 2 * time.Second

// setAdmitted derives the admitted share of each class.
func (p *pool) setAdmitted() {
	next := fill(p.total(), p.capacity())
	for i, v := range next {
		if !p.cutOff() {
			p.usual[i] += (p.admitted[i] - p.usual[i]) * tick.Seconds() / usualTime.Seconds()
		} else {
			v = max(v, p.usual[i]) // no stricter than with contact to peers
		}
		if v == 0 || v == 1 || math.Abs(v-p.admitted[i]) >= deadBand*p.admitted[i] {
			p.admitted[i] = v
		}
	}
	p.restricted = 0
	for i, v := range p.admitted {
		if v < 1 {
			p.restricted = i &^ 1
			break
		}
	}
}

// level returns the threshold as a number of priorities.
func (p *pool) level() float64 {
	for i := range Priorities {
		if r, f := p.admitted[2*i], p.admitted[2*i+1]; r < 1 || f < 1 {
			return float64(i) + min(r, f)
		}
	}
	return Priorities
}

// shareGain is the part of a difference by which the share of a router moves in a tick. A
// router with few requests a second sees large variations of its demand.
const shareGain = 0.3

// minShare is the least share of a router, relative to an equal one. Its last report may be
// from before its callers came.
const minShare = 0.5

// minWeight is the weight of demand that is not admitted at all, so that shares do not jump
// when nothing is admitted for a moment.
const minWeight = 0.01

// setShare sets the share of this router in the admitted demand. Own demand counts as the
// peers know it: if all counted what they alone know already, their shares would add up to
// more than the whole while demand rises.
func (p *pool) setShare(now time.Time) {
	even := 1 / float64(max(1, p.load.Routers))
	switch {
	case p.cutOff():
		if p.heardAt.IsZero() {
			p.share = even
		}
		return // otherwise the last share holds
	case len(p.peers) > 0:
	case !p.loadedFrom.IsZero() && now.Sub(p.loadedFrom) > p.reportLifetime():
		p.share = 1 // peers are heard, and have no demand
		return
	default:
		p.share = even
		return
	}
	own, total := 0.0, 0.0
	for i := range Classes {
		weight := max(p.admitted[i], minWeight)
		if !p.active {
			weight = 1
		}
		own += weight * p.reported[i]
		total += weight * p.reported[i]
		for _, h := range p.peers {
			total += weight * h.Demand[i]
		}
	}
	if total <= 0 {
		p.share = even
		return
	}
	p.share += shareGain * (max(own/total, minShare*even) - p.share)
}
