package place

import "time"

const (
	// endWeight is the weight of the time from the first event to the end relative to that
	// to the first event. Callers are served in time by the first event; a late end takes a
	// slot for longer and brings the deadline nearer.
	endWeight = 0.1
	// readWeight is the weight of the time for reading a prompt again where a cache holder
	// could take the request. The requests behind it at the endpoint wait for it too.
	readWeight = 2.0
)

// expectation weighs the endpoints of a pool for one request by the time that it is
// expected to take. It is the zero value for a pool whose endpoints state no work time;
// those are weighed by their load.
type expectation struct {
	times  *poolTimes
	now    time.Time
	hold   time.Duration // for which a work time counts
	mean   float64       // mean load of the pool
	end    float64       // weighted time from the first event to the end, in ms
	own    int           // prompt tokens that no endpoint holds
	shared int           // prompt tokens that holders of the part have cached
}

// expect returns the expectation for a request.
func (t *Table) expect(now time.Time, q Query, mean float64) expectation {
	p := t.times[q.Pool]
	if p == nil || !p.workTimeStated {
		return expectation{}
	}
	e := expectation{times: p, now: now, hold: t.workTimeHold(), mean: mean, end: endWeight * p.wholeTime(q.Kind), own: boundTokens(q.PromptTokens)}
	if q.Part != 0 {
		e.shared = boundTokens(q.Tokens)
		e.own = max(0, e.own-e.shared)
	}
	return e
}

// maxPromptTokens bounds the prompt tokens that count: callers state them.
const maxPromptTokens = 1 << 21

func boundTokens(n int) int { return min(max(n, 0), maxPromptTokens) }

// active reports whether endpoints are weighed by time.
func (e expectation) active() bool { return e.times != nil }

// slowness returns how much longer than usual the endpoint takes for its work.
func (e expectation) slowness(s *endpointState) float64 {
	return s.work.factor(e.now, e.hold) * s.learned.factor(e.now)
}

// lasting reports whether the endpoint takes longer than usual and is likely to go on so.
func (e expectation) lasting(s *endpointState) bool {
	return s.learned.factor(e.now) > 1 || s.work.lasts(e.now, e.hold)
}

// time returns the weighted time in ms that a request is expected to take at an endpoint
// that reads the given prompt tokens. Up to its slots the time grows with the load as in a
// machine whose time is shared, so endpoints get shares by their speed: with a time that
// does not grow, engines at half the speed got nothing and the others were overloaded.
// Beyond the slots the request first waits for others to end.
func (e expectation) time(c candidate, load float64, uncached int) float64 {
	p := e.times
	ms := (p.base+e.end)*(load+1)/(e.mean+1) + float64(uncached)*p.perToken
	if slots := float64(c.slots()); slots > 0 && load+1 > slots {
		ms += (load + 1 - slots) / slots * p.whole.value
	}
	return ms * e.slowness(c.endpointState)
}

// full reports whether all slots of the endpoint are taken.
func (c candidate) full() bool {
	slots := c.slots()
	return slots > 0 && c.load >= float64(slots)
}

// movePrompt returns the expected time in ms for a prompt part that another endpoint holds,
// if the request runs at one that does not: to fetch it if there is a source, otherwise to
// read it.
func (e expectation) movePrompt(canFetch bool) float64 {
	perToken := e.times.perToken
	if canFetch && e.times.fetchPays(e.now) {
		perToken = e.times.fetchTime()
	}
	return float64(e.shared) * perToken
}

// promptWork returns the numbers of prompt tokens that the endpoint of a choice is expected
// to read and to fetch. uncached is negative if that is not known: another request reads the
// part, or the endpoint holds or fetches a first part whose length is not stated.
func promptWork(q Query, c Choice, ofBase bool) (uncached, fetched int) {
	all, shared := boundTokens(q.PromptTokens), boundTokens(q.Tokens)
	switch {
	case q.Part == 0:
		return all, 0
	case c.Wait > 0 || ofBase || c.NewHolder && c.FetchFrom == "" && q.Base != 0 && !c.NewBase:
		return -1, 0
	case c.FetchFrom != "":
		return max(0, all-shared), shared
	case c.NewHolder:
		return all, 0
	}
	return max(0, all-shared), 0
}
