// Package invariant checks at run time conditions that must always hold. A
// violation is counted and logged; in tests it is fatal.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// ID names one requirement of docs/design.md, section 2.
type ID string

// The invariants, with their requirement and the condition that is checked.
const (
	LoadBound     ID = "load_bound"     // R1: load of an endpoint is within its bound
	ColdLimit     ID = "cold_limit"     // R2: unconfirmed work of an endpoint is within the cold limit
	DataCentreOut ID = "data_centre"    // R3: no work is admitted in a data centre that is out of service
	VersionShare  ID = "version_share"  // R4: no request is sent to a suspended version
	WholeAnswer   ID = "whole_answer"   // R5: the frames of an answer are in order, without gaps, and none follows the end
	NotRunIsTrue  ID = "not_run"        // R6: a request that is reported as not run has no outcome
	AtMostOnce    ID = "at_most_once"   // R7: a request with an idempotency key runs only under the claim that won the key
	LeavingNoWork ID = "leaving"        // R8: no work is admitted by an endpoint that is leaving or draining
	CleanStop     ID = "planned_stop"   // R9: no request is in flight after the drain
	ConfigForward ID = "config_forward" // R10: the accepted configuration does not go back
)

var fatal atomic.Bool

// SetFatal sets whether a violation panics. Tests turn it on.
func SetFatal(on bool) { fatal.Store(on) }

// Check counts a check of id, and reports a violation unless ok. It returns ok.
func Check(id ID, ok bool, format string, args ...any) bool {
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_invariant_checks_total{invariant=%q}`, id)).Inc()
	if ok {
		return true
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_invariant_breaches_total{invariant=%q}`, id)).Inc()
	msg := fmt.Sprintf(format, args...)
	if fatal.Load() {
		panic(fmt.Sprintf("invariant %s: %s", id, msg))
	}
	slog.Error("invariant: breach found", "invariant", id, "detail", msg)
	return false
}

// Breaches returns the number of violations of id since the start of the process.
func Breaches(id ID) uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_invariant_breaches_total{invariant=%q}`, id)).Get()
}
