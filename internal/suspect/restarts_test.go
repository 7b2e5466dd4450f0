package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against a crash that shows as silence only and is not counted when the endpoint
// leaves the instance list, one that is counted twice, and failures of endpoints that live
// on which are counted or kept for ever.
func TestFailuresAreCrashesOnceTheEndpointHasEnded(t *testing.T) {
	is := is.New(t)
	var failures Failures
	now := time.Unix(1_700_000_000, 0)
	failures.Add(Failure{Endpoint: "ended", Started: 5, At: now, Causes: []uint64{1}})
	failures.Add(Failure{Endpoint: "lives", Started: 5, At: now, Causes: []uint64{2}})
	ended := func(id model.EndpointID, started int64) bool { return id == "ended" && started == 5 }
	crashes := failures.Crashes(now.Add(3*time.Second), ended)
	is.Equal(len(crashes), 1)
	is.Equal(crashes[0].Causes, []uint64{1})
	is.Equal(len(failures.Crashes(now.Add(4*time.Second), ended)), 0)
	all := func(model.EndpointID, int64) bool { return true }
	is.Equal(len(failures.Crashes(now.Add(restartTime), all)), 0) // too late
	for range 2 * maxFailures {
		failures.Add(Failure{Endpoint: "lives", At: now})
	}
	is.Equal(len(failures.list), maxFailures)
	long := make([]uint64, MaxCausesPerRequest) // of a prompt with very many parts
	for range maxFailures {
		failures.Add(Failure{Endpoint: "lives", At: now, Causes: long})
	}
	is.Equal(len(failures.list)*len(long), maxFailureCauses)
}
