// Package locality decides which part of the requests of a data centre goes to endpoints of
// other data centres: as many as make a further request cost the same on both sides, with
// the price of the bytes between them and the delay of the link, and the cheapest ones
// first. It is pure.
package locality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Price is what a request to another data centre costs.
type Price struct {
	PerGB float64       // ms of delay that a caller would accept to save a GB between data centres; 0 turns the decision off
	Link  time.Duration // round trip to another data centre
	// CacheToken is the number of bytes that an engine sends for each prompt token that
	// another one fetches; 0 if unknown.
	CacheToken float64
}

// Enabled reports whether a price decides which requests go to other data centres.
func (p Price) Enabled() bool { return p.PerGB > 0 }

const bytesPerGB = 1e9

// OfBytes returns the price of bytes in ms of delay.
func (p Price) OfBytes(bytes float64) float64 { return p.PerGB * bytes / bytesPerGB }

// OfRequest returns the price in ms of delay of a request that sends and receives bytes.
func (p Price) OfRequest(bytes float64) float64 {
	return p.OfBytes(bytes) + float64(p.Link)/float64(time.Millisecond)
}

// Side is the state of a pool in the own data centre, or in all others.
type Side struct {
	Endpoints int
	Load      float64 // requests in flight at all of them
	Delay     float64 // mean of the expected delays of one more request, in ms
	Slope     float64 // by which a request more at an endpoint raises its delay, in ms
}

// MeanLoad returns the mean number of requests in flight at an endpoint.
func (s Side) MeanLoad() float64 { return s.Load / float64(max(1, s.Endpoints)) }

// marginal returns by how much one more request raises the delays of all requests: its own,
// and that of the others at its endpoint.
func (s Side) marginal() float64 { return s.Delay + s.Slope*s.MeanLoad() }

// View is what a router knows of a pool.
type View struct {
	Local, Remote Side
	// Home is the number of requests in flight of the callers of the own data centre, and
	// HomeRemote the number of those at other data centres.
	Home, HomeRemote float64
	// Bound is the mean load of the own endpoints above which requests go elsewhere at any
	// price, so that the load bound holds with figures that are old.
	Bound float64
}

// Class is a kind of request to one pool whose requests cost the same.
type Class struct {
	Kind  model.Route
	Moves bool // the prompt is cached in the own data centre only, so it is read elsewhere
	Stays bool // the request goes to another data centre anyway, since its prompt is there
}

const (
	// startMargin is the share of the local delay by which the marginal delays must differ
	// beyond the price before requests begin to go to other data centres: in calm they
	// differ by the variation of the load.
	startMargin = 0.25
	// keepMargin is the same share once requests go. Without it, the variation of the load
	// kept them going after the own capacity was back.
	keepMargin = 0.1
	// smoothing is the time constant of the shares in intervals between two views. Shares
	// follow from figures that do not depend on them, so they need no damping against
	// their own effect, but each view has the noise of a moment.
	smoothing = 1.0
	// arrivalMemory is the factor by which the counts of requests fade in an interval.
	arrivalMemory = 0.8
	// minShare is the share below which a falling share ends.
	minShare = 0.02
	// maxClasses bounds the classes of a pool.
	maxClasses = 128
)

// class is the state of one class.
type class struct {
	key      Class
	price    float64 // of the last request, in ms
	arrivals float64 // requests of this router, older ones fading
	share    float64 // that goes to other data centres
	bound    bool    // for the load bound rather than for the price
}

// Pool decides for the requests of one pool.
type Pool struct {
	classes map[Class]*class
	updated time.Time
	started bool // some class has a share
}

// NewPool returns a pool none of whose requests go to other data centres.
func NewPool() *Pool { return &Pool{classes: map[Class]*class{}} }

// Due reports whether Update is to be called: the view is renewed once in an interval.
func (p *Pool) Due(now time.Time, interval time.Duration) bool {
	return now.Sub(p.updated) >= interval
}

// Decide counts a request of a class and reports whether it goes to another data centre, and
// whether it does so for the load bound. u is uniform in [0, 1) over the requests.
func (p *Pool) Decide(key Class, price, u float64) (remote, bound bool) {
	c := p.classes[key]
	if c == nil {
		if len(p.classes) >= maxClasses {
			return false, false
		}
		c = &class{key: key}
		p.classes[key] = c
	}
	c.price = price
	c.arrivals++
	return u < c.share, c.bound
}

// Share returns the share of the requests of a class that goes to other data centres.
func (p *Pool) Share(key Class) float64 {
	if c := p.classes[key]; c != nil {
		return c.share
	}
	return 0
}

// Change is how an update changed whether requests go to other data centres.
type Change int

// The changes.
const (
	None Change = iota
	Started
	Ended
)

// Update sets the share of each class. Routers with equal views get equal shares, so each
// moves the part that its data centre has to move.
func (p *Pool) Update(now time.Time, interval time.Duration, v View) Change {
	step := 1 - math.Exp(-float64(min(now.Sub(p.updated), 2*interval))/(smoothing*float64(interval)))
	p.updated = now
	list := make([]*class, 0, len(p.classes))
	for key, c := range p.classes {
		if c.arrivals *= arrivalMemory; c.arrivals < minShare {
			delete(p.classes, key)
			continue
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.key.Kind, b.key.Kind), compareBool(a.key.Moves, b.key.Moves), compareBool(a.key.Stays, b.key.Stays))
	})
	total := 0.0
	for _, c := range list {
		total += c.arrivals
	}
	sent := 0.0 // share of all requests that cheaper classes and prompts elsewhere send
	for _, c := range list {
		if c.key.Stays {
			sent += c.arrivals / total
		}
	}
	started := false
	for _, c := range list {
		if c.key.Stays {
			continue
		}
		want, bound := v.remoteShare(c.price, c.share > 0)
		target := min(max((want-sent)*total/c.arrivals, 0), 1)
		before := c.share
		if target > 0 || !bound {
			c.bound = bound
		}
		if bound && target > c.share {
			c.share = target // the load bound cannot wait until the noise is averaged out
		} else {
			c.share += step * (target - c.share)
		}
		if c.share < before && c.share < minShare {
			c.share = 0
		}
		started = started || c.share > 0
		sent += target * c.arrivals / total
	}
	before := p.started
	p.started = started
	switch {
	case started && !before:
		return Started
	case before && !started:
		return Ended
	}
	return None
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// remoteShare returns the share of the requests of the own callers that is to be at other
// data centres so that the marginal delays differ by the price, and so that the own
// endpoints stay below the bound, whichever is larger. What is there now is part of both
// figures, so the result does not depend on it.
func (v View) remoteShare(price float64, started bool) (share float64, bound bool) {
	if v.Local.Endpoints == 0 || v.Remote.Endpoints == 0 || v.Home < 1 {
		return 0, false
	}
	move := math.Inf(-1) // further requests in flight that are to be at other data centres
	gain := v.Local.marginal() - v.Remote.marginal() - price
	margin := startMargin * v.Local.marginal()
	if started {
		margin = keepMargin * v.Local.marginal()
	}
	k := 2 * (v.Local.Slope/float64(v.Local.Endpoints) + v.Remote.Slope/float64(v.Remote.Endpoints))
	if k > 0 && (started || gain > margin) {
		move = (gain - margin) / k
	}
	over := v.Local.Load - v.Bound*float64(v.Local.Endpoints)
	if over > move {
		move, bound = over, true
	}
	return (v.HomeRemote + move) / v.Home, bound
}
