package rollout

import "github.com/goldcrestturn/goldcrestturn/internal/model"

// Counts is the evidence about one version on one route. The counts of a side
// process are totals that only grow until it restarts, so lost and duplicate
// reports do no harm.
type Counts struct {
	Requests int64 // requests that ended while the endpoint was warm
	Failures int64 // failed requests; a crash of the endpoint counts once
	Slow     int64 // requests whose time to first token exceeded the warm time
}

// Add returns the sum of c and d.
func (c Counts) Add(d Counts) Counts {
	return Counts{c.Requests + d.Requests, c.Failures + d.Failures, c.Slow + d.Slow}
}

// Sub returns the difference of c and d.
func (c Counts) Sub(d Counts) Counts {
	return Counts{c.Requests - d.Requests, c.Failures - d.Failures, c.Slow - d.Slow}
}

func (c Counts) negative() bool {
	return c.Requests < 0 || c.Failures < 0 || c.Slow < 0
}

// Key identifies what a Counts value belongs to.
type Key struct {
	Rollout string
	Version model.Version
	Route   model.Route
}

// Evidence holds counts by key.
type Evidence map[Key]Counts

// Merge adds the counts of other to e.
func (e Evidence) Merge(other Evidence) {
	for k, c := range other {
		e[k] = e[k].Add(c)
	}
}
