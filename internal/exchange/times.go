package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// MethodTimes carries the stage times of an endpoint's requests to an
// aggregator. These messages are the first to be dropped when the control budget
// is reached.
const MethodTimes = "E.Times"

// maxTimeRows bounds the number of rows in one message.
const maxTimeRows = 256

// TimesArgs carries the sums of the stage times since the last message.
type TimesArgs struct {
	Endpoint string
	Pool     string
	Rows     []TimeRow
}

// TimeRow is the time of the requests of one version and route.
type TimeRow struct {
	Version  string
	Route    string
	Requests int64
	US       []int64 // microseconds by stage, summed over the requests
}

// FromTimes returns the message for the sums of one endpoint. The stages of one
// version and route must have the same number of requests.
func FromTimes(id model.EndpointID, pool model.Pool, sums timing.Sums) TimesArgs {
	type group struct {
		version model.Version
		route   model.Route
	}
	rows := map[group]*TimeRow{}
	for k, v := range sums {
		g := group{k.Version, k.Route}
		if rows[g] == nil {
			rows[g] = &TimeRow{Version: string(k.Version), Route: string(k.Route), Requests: int64(v.Requests), US: make([]int64, model.StageCount)}
		}
		rows[g].US[k.Stage] = v.Time.Microseconds()
	}
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.version, b.version))
	})
	a := TimesArgs{Endpoint: string(id), Pool: string(pool)}
	for _, g := range keys[:min(len(keys), maxTimeRows)] {
		a.Rows = append(a.Rows, *rows[g])
	}
	return a
}

// Model returns the sums that a encodes.
func (a TimesArgs) Model() (timing.Sums, error) {
	if len(a.Rows) > maxTimeRows || max(len(a.Endpoint), len(a.Pool)) > maxIDBytes {
		return nil, ErrMalformed
	}
	out := timing.Sums{}
	for _, r := range a.Rows {
		if r.Requests < 0 || len(r.US) != int(model.StageCount) || max(len(r.Version), len(r.Route)) > maxIDBytes {
			return nil, ErrMalformed
		}
		for stage, us := range r.US {
			k := timing.Key{
				Endpoint: model.EndpointID(a.Endpoint), Pool: model.Pool(a.Pool),
				Version: model.Version(r.Version), Route: model.Route(r.Route), Stage: model.Stage(stage),
			}
			if us > 0 {
				out[k] = timing.Sum{Requests: float64(r.Requests), Time: time.Duration(us) * time.Microsecond}
			}
		}
	}
	return out, nil
}
