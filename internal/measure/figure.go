package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Relation is the comparison that a value must satisfy against its target.
type Relation string

// The relations between a value and its target.
const (
	AtMost  Relation = "<="
	AtLeast Relation = ">="
	Equal   Relation = "="
	Info    Relation = "" // a baseline or a count without a target
)

// Figure is one measured value.
type Figure struct {
	Name     string // scenario and value, such as "routing/kauri/reuse"
	Value    float64
	Unit     string
	Relation Relation
	Target   float64
	Baseline string // results of baseline methods in the same run; may be empty
}

// Missed reports whether the value misses its target.
func (f Figure) Missed() bool {
	switch f.Relation {
	case AtMost:
		return !(f.Value <= f.Target)
	case AtLeast:
		return !(f.Value >= f.Target)
	case Equal:
		return f.Value != f.Target
	}
	return false
}

// String formats the figure as "name value unit target verdict", followed by
// the baseline if there is one.
func (f Figure) String() string {
	verdict, target := "ok", fmt.Sprintf("%s%g", f.Relation, f.Target)
	if f.Relation == Info {
		verdict, target = "info", "-"
	}
	if f.Missed() {
		verdict = "MISSED"
	}
	line := fmt.Sprintf("%-44s %12.4g %-10s %-10s %s", f.Name, f.Value, f.Unit, target, verdict)
	if f.Baseline != "" {
		line += "  baseline: " + f.Baseline
	}
	return line
}

// Env is the environment of a scenario. Seed is its only source of randomness.
type Env struct {
	Seed uint64
	// Bubble runs f with virtual time (testing/synctest): the clock advances to
	// the next timer as soon as every goroutine of f is blocked.
	Bubble func(f func())
}

// Scenario is one measurement.
type Scenario struct {
	Name string
	Run  func(env Env) []Figure
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return slices.Concat(
		stateScenarios(),
		exchangeScenarios(),
		suspectScenarios(),
		limitScenarios(),
		retryScenarios(),
		rolloutScenarios(),
		routingScenarios(),
		configScenarios(),
		orderScenarios(),
	)
}

// Run runs the scenarios whose name starts with prefix, prints their figures to
// w and returns the names of the figures that missed their target.
func Run(w io.Writer, env Env, prefix string) []string {
	var missed []string
	for _, s := range Scenarios() {
		if !strings.HasPrefix(s.Name, prefix) {
			continue
		}
		for _, f := range s.Run(env) {
			fmt.Fprintln(w, f)
			if f.Missed() && !slices.Contains(missed, f.Name) {
				missed = append(missed, f.Name)
			}
		}
	}
	return missed
}

func stateScenarios() []Scenario {
	return []Scenario{
		{Name: "state/claims", Run: claimScenario},
		{Name: "state/answers", Run: answerScenario},
		{Name: "state/stops", Run: stopScenario},
	}
}
