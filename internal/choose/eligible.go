package choose

import (
	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
	"slices"
	"time"
)

// Filter is one eligibility rule. It keeps a candidate for a query or not.
type Filter struct {
	Name string
	Keep func(q *Query, p *Pool, c *Candidate) bool
}

// Filters lists the rules in the order in which they run.
var Filters = [...]Filter{
	{"data_centre", inService},
	{"leaving", takesWork},
	{"version", hasVersion},
	{"plan", allowsPlan},
}

// inService drops endpoints of a data centre that is out of service.
func inService(_ *Query, _ *Pool, c *Candidate) bool { return !c.OutOfService }

// takesWork drops endpoints that leave, are down or are damped.
func takesWork(_ *Query, _ *Pool, c *Candidate) bool { return !c.Leaving && c.Weight > 0 }

// hasVersion drops endpoints of another version than the selected one.
func hasVersion(q *Query, _ *Pool, c *Candidate) bool {
	return q.Version == "" || c.Version == q.Version
}

// allowsPlan drops all endpoints of a pool that the plan may not use.
func allowsPlan(q *Query, p *Pool, _ *Candidate) bool {
	return len(p.Plans) == 0 || slices.Contains(p.Plans, q.Plan)
}

// eligible applies the filters and the slice of a returning data centre. The
// holder of a chat keeps it whatever the slice, since its cache is warm.
func eligible(q *Query, p *Pool, c *Candidate, keyHash uint64, holder bool) bool {
	for i := range Filters {
		if !Filters[i].Keep(q, p, c) {
			return false
		}
	}
	return holder || inReturnedSlice(c, keyHash)
}

// ReclaimTime is how long after its return a data centre gets chats back from
// their holders. Most chats return within minutes.
const ReclaimTime = 10 * time.Minute

// returnSalt separates the slice of a chat from its order.
const returnSalt = 0x5bd1e9955bd1e995

// inReturnedSlice drops endpoints of a returning data centre for chats whose
// hash slice has not been given back yet. The slices only grow, so a chat
// changes its endpoint at most once.
func inReturnedSlice(c *Candidate, keyHash uint64) bool {
	return c.WithheldShare <= 0 || unit(hrw.Score(keyHash, returnSalt)) >= c.WithheldShare
}
