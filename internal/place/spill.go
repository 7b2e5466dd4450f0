package place

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/locality"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// RemoteReason is why a request goes to another data centre.
type RemoteReason string

// The reasons for other data centres.
const (
	RemoteLoad    RemoteReason = "load"         // no price is set, so data centres are compared by load
	RemoteSpill   RemoteReason = "spill"        // it pays: the own endpoints are too few
	RemoteHolder  RemoteReason = "holder"       // the prompt is cached there, which saves more than the way costs
	RemoteBound   RemoteReason = "bound"        // the own endpoints are at the load bound
	RemoteNone    RemoteReason = "no_local"     // no own endpoint may take the request
	RemoteGranted RemoteReason = "granted_slot" // a slot was granted there
)

// SpillChange says that requests of a pool begin to go to other data centres because the own
// endpoints are too few, or that none do any more.
type SpillChange struct {
	Started bool
	Pool    model.Pool
	View    locality.View // from which this follows
}

// SetLocality sets the price of requests to other data centres.
func (t *Table) SetLocality(p locality.Price) { t.price = p }

// localBound is the share of the load limit up to which the own data centre may be loaded in
// the mean. The rest is for single endpoints above it, and for requests that were sent since
// the last load reports: with 0.75 and ten times the load of its endpoints, more than the 3 in
// 100 requests that the operators allow were over the bound in some trials.
const localBound = 0.6

// localize returns the endpoints among which the request is placed: those of the own data
// centre, those of others, or all of them if no own one is within the load limit. The load
// bound, cold rates, limits and regions have been applied to eligible, or apply to what is
// selected from the result, so they go before.
func (t *Table) localize(now time.Time, q Query, expected expectation, eligible []candidate, mean, limit float64) ([]candidate, RemoteReason, *SpillChange) {
	if !t.price.Enabled() {
		return eligible, RemoteLoad, nil
	}
	holders := t.holders.lookup(q.Part) // none for part 0
	var local, remote []candidate
	localWithin, localHolds, remoteWithin, remoteHolds := false, false, false, false
	for _, c := range eligible {
		within := c.load+1 <= limit
		holds := within && slices.Contains(holders, c.hash)
		if c.DataCentre == t.home {
			local, localWithin, localHolds = append(local, c), localWithin || within, localHolds || holds
		} else {
			remote, remoteWithin, remoteHolds = append(remote, c), remoteWithin || within, remoteHolds || holds
		}
	}
	switch {
	case len(local) == 0:
		return remote, RemoteNone, nil
	case !localWithin:
		return eligible, RemoteBound, nil
	case !remoteWithin:
		return local, "", nil
	}
	price, move := t.price.OfRequest(t.bytesOf(q)), t.movePrice(q, expected)
	class := locality.Class{Kind: q.Kind, Moves: localHolds && !remoteHolds, Stays: remoteHolds && !localHolds && price < move}
	if class.Moves {
		price += move
	}
	pool, change := t.spillsOf(now, q.Pool, mean, limit)
	sent, bound := pool.Decide(class, price, uniform(q.Key))
	switch {
	case class.Stays:
		return remote, RemoteHolder, change
	case sent && bound:
		return remote, RemoteBound, change
	case sent:
		return remote, RemoteSpill, change
	}
	return local, "", change
}

// uniform returns a number in [0, 1) for a hash.
func uniform(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// bytesOf returns the expected number of bytes of a request and its answer.
func (t *Table) bytesOf(q Query) float64 {
	if p := t.times[q.Pool]; p != nil {
		if k := p.kinds[q.Kind]; k != nil {
			return k.bytes.value
		}
	}
	return 0
}

// movePrice returns what it costs to read the prompt part at another endpoint, in ms.
func (t *Table) movePrice(q Query, expected expectation) float64 {
	if q.Part == 0 {
		return 0
	}
	if expected.active() {
		return readWeight * expected.movePrompt(false)
	}
	return readWeight * float64(boundTokens(q.Tokens)) / prefillRate
}

// fetchAcrossPays reports whether engines fetch prompts from other data centres: the price of
// the bytes of a token is at most what reading it costs.
func (t *Table) fetchAcrossPays(expected expectation) bool {
	perToken := 1.0 / prefillRate
	if expected.active() {
		perToken = expected.times.perToken
	}
	return t.price.OfBytes(t.price.CacheToken) <= readWeight*perToken
}

// spillsOf returns what decides for the requests of a pool, after an update if one is due.
func (t *Table) spillsOf(now time.Time, name model.Pool, mean, limit float64) (*locality.Pool, *SpillChange) {
	pool := t.spills[name]
	if pool == nil {
		pool = locality.NewPool()
		t.spills[name] = pool
	}
	interval := LoadReportInterval(len(t.peers))
	if !pool.Due(now, interval) {
		return pool, nil
	}
	view := t.viewOf(now, name)
	view.Bound = localBound * limit
	if change := pool.Update(now, interval, view); change != locality.None {
		return pool, &SpillChange{Started: change == locality.Started, Pool: name, View: view}
	}
	return pool, nil
}

// viewOf returns the state of a pool in the own data centre and in all others. Endpoints that
// take few requests for another reason do not count.
func (t *Table) viewOf(now time.Time, pool model.Pool) locality.View {
	var v locality.View
	p := t.timesOf(pool)
	base, slope := p.delay.delayLine()
	hold := t.workTimeHold()
	home := map[uint32]int{} // requests in flight of the peers in the own data centre
	for _, peer := range t.peers {
		if peer.dataCentre == t.home {
			for h, n := range peer.loads {
				home[h] += n
			}
		}
	}
	for _, e := range t.usable(pool) {
		if t.evacuated[e.DataCentre] || e.health.inBackoff(now) || now.Before(e.turnedAwayUntil) || now.Before(e.coldUntil) || e.limit != nil {
			continue
		}
		side := &v.Remote
		if e.DataCentre == t.home {
			side = &v.Local
		}
		load, slowness := t.load(now, e), e.work.factor(now, hold)
		delay := max(minFirstEvent, base+slope*load)
		if slots := float64(e.slots()); slots > 0 && load+1 > slots {
			delay = max(delay, (load+1-slots)/slots*p.whole.value)
		}
		side.Endpoints++
		side.Load += load
		side.Delay += slowness * delay
		side.Slope += slowness * slope
		own := float64(e.inFlight + home[e.hash])
		v.Home += own
		if side == &v.Remote {
			v.HomeRemote += own
		}
	}
	average := func(side *locality.Side, level float64) {
		if n := float64(side.Endpoints); n > 0 {
			side.Delay, side.Slope = level*side.Delay/n, level*side.Slope/n
		}
	}
	average(&v.Local, p.local.sideLevel(now))
	average(&v.Remote, p.remote.sideLevel(now))
	return v
}
