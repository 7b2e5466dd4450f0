package choose

import (
	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
	"slices"
	"time"
)

// Filter is an eligibility rule. Keep reports whether the candidate is eligible
// for the query.
type Filter struct {
	Name string
	Keep func(q *Query, p *Pool, c *Candidate) bool
}

// Filters lists the rules in the order in which they are applied.
var Filters = [...]Filter{
	{"data_centre", inService},
	{"leaving", acceptsWork},
	{"version", hasVersion},
	{"plan", allowsPlan},
}

// inService excludes endpoints of a data centre that is out of service.
func inService(_ *Query, _ *Pool, c *Candidate) bool { return !c.OutOfService }

// acceptsWork excludes endpoints that are leaving, down or in flap damping.
func acceptsWork(_ *Query, _ *Pool, c *Candidate) bool { return !c.Leaving && c.Weight > 0 }

// hasVersion excludes endpoints of another version than the requested one.
func hasVersion(q *Query, _ *Pool, c *Candidate) bool {
	return q.Version == "" || c.Version == q.Version
}

// allowsPlan excludes all endpoints of a pool that the plan may not use.
func allowsPlan(q *Query, p *Pool, _ *Candidate) bool {
	return len(p.Plans) == 0 || slices.Contains(p.Plans, q.Plan)
}

// eligible applies the filters and the withheld share of a data centre that
// returns to service. The withheld share does not apply to the holder of a chat,
// since its cache is warm.
func eligible(q *Query, p *Pool, c *Candidate, keyHash uint64, holder bool) bool {
	for i := range Filters {
		if !Filters[i].Keep(q, p, c) {
			return false
		}
	}
	return holder || isReturned(c, keyHash)
}

// ReclaimTime is how long a data centre reclaims its chats from their holders
// after it returned to service. Most chats send another request within minutes.
const ReclaimTime = 10 * time.Minute

// returnSalt makes the hash for the withheld share independent of the rendezvous
// scores.
const returnSalt = 0x5bd1e9955bd1e995

// isReturned reports whether the chat with keyHash is no longer withheld from c
// while its data centre returns to service. The withheld share only shrinks, so a
// chat changes its endpoint at most once.
func isReturned(c *Candidate, keyHash uint64) bool {
	return c.WithheldShare <= 0 || unitInterval(hrw.Score(keyHash, returnSalt)) >= c.WithheldShare
}
