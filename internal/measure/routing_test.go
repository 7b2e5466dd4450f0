package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
)

// Guards against a check of cold overloads that passes without the cold limit.
func TestColdOverloadsShowWithoutTheLimit(t *testing.T) {
	is := is.New(t)
	for _, c := range coldCases() {
		over, _ := coldRun(fleetSizes[0], 1, c, admit.Disabled{ColdLimit: true}).overloads()
		is.True(over > 0) // c.name
	}
}

// Guards against a check of the load bound that passes without the bound.
func TestLoadOverBoundShowsWithoutTheBound(t *testing.T) {
	is := is.New(t)
	noChurn := churn{name: "quiet", apply: func(*routingRun) {}}
	r := shortRun(fleetSizes[0], 1, noChurn, method{name: "fleet", disabled: admit.Disabled{Bound: true}}, time.Minute)
	is.True(r.observer.worst > 1)
}

// Guards against a check of the last admission that passes although processes
// learn of an evacuation from the log only and sides do not refuse requests.
func TestLateAdmissionsShowWithoutExchangeAndRefusal(t *testing.T) {
	is := is.New(t)
	for _, c := range centreCases() {
		if c.outage {
			is.True(centreRuns(fleetSizes[0], 1, c, centreDisabled{exchange: true, gate: true}).lastAdmission > evacuationBound)
		}
	}
}

// Guards against a check of lost requests that passes although evacuated sides
// end their running work.
func TestLostRequestsShowWithoutDrain(t *testing.T) {
	is := is.New(t)
	is.True(centreRun(fleetSizes[0], 1, centreCases()[0], centreDisabled{drain: true}).lost > 0)
}

// Guards against a comparison with the baselines that the fleet wins without
// return tokens and cache transfers.
func TestBaselinesAreNotBeatenWithoutTokensAndCopies(t *testing.T) {
	is := is.New(t)
	ms := methods(admit.Disabled{})
	ms[0].tokensDisabled = true
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
	twoFaults := churns()[4]
	a := shortRun(fleetSizes[0], 7, twoFaults, method{name: "fleet"}, 200*time.Second)
	b := shortRun(fleetSizes[0], 7, twoFaults, method{name: "fleet"}, 200*time.Second)
	is.Equal(a.stats.cached, b.stats.cached)
	is.Equal(a.stats.refused, b.stats.refused)
	is.Equal(a.observer.worst, b.observer.worst)
	is.Equal(a.stats.waits, b.stats.waits)
}
