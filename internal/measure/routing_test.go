package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
)

// Guards against a check of cold overloads that cannot fail.
func TestColdOverloadsShowWithoutTheLimit(t *testing.T) {
	is := is.New(t)
	for _, c := range coldCases() {
		over, _ := coldRun(fleetSizes[0], 1, c, admit.Disabled{ColdLimit: true}).overloads()
		is.True(over > 0) // c.name
	}
}

// Guards against a check of the load bound that cannot fail.
func TestLoadOverBoundShowsWithoutTheBound(t *testing.T) {
	is := is.New(t)
	quiet := churn{name: "quiet", apply: func(*routingRun) {}}
	r := shortRun(fleetSizes[0], 1, quiet, method{name: "fleet", switches: admit.Disabled{Bound: true}}, time.Minute)
	is.True(r.observed.worst > 1)
}

// Guards against a check of the last admission that cannot fail.
func TestLateAdmissionsShowWithoutExchangeAndRefusal(t *testing.T) {
	is := is.New(t)
	for _, c := range centreCases() {
		if c.outage {
			is.True(centreRuns(fleetSizes[0], 1, c, mechanisms{noExchange: true, noGate: true}).after > outBound)
		}
	}
}

// Guards against a check of lost requests that cannot fail.
func TestLostRequestsShowWithoutDrain(t *testing.T) {
	is := is.New(t)
	is.True(centreRun(fleetSizes[0], 1, centreCases()[0], mechanisms{cutsWork: true}).lost > 0)
}

// Guards against a comparison with the baselines that the fleet wins without
// its copies of caches and its holder tokens.
func TestBaselinesAreNotBeatenWithoutTokensAndCopies(t *testing.T) {
	is := is.New(t)
	ms := methods(admit.Disabled{})
	ms[0].plain = true
	c := compare(fleetSizes[0], 1, churns()[0], ms)
	best := 0.0
	for i := range c.runs[2:] {
		best = max(best, c.ofIdeal(i+2))
	}
	is.True(c.ofIdeal(0) <= best)
}

// Guards against figures that differ between two runs of one seed.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	is := is.New(t)
	two := churns()[4]
	a := shortRun(fleetSizes[0], 7, two, method{name: "fleet"}, 200*time.Second)
	b := shortRun(fleetSizes[0], 7, two, method{name: "fleet"}, 200*time.Second)
	is.Equal(a.stats.cached, b.stats.cached)
	is.Equal(a.stats.refused, b.stats.refused)
	is.Equal(a.observed.worst, b.observed.worst)
	is.Equal(a.stats.waits, b.stats.waits)
}
