package exchange

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// PathSlow is the path on an entry's admin address under which goldcrestctl
// reads the stage times that the entry collects as an aggregator.
const PathSlow = "/slow"

// SlowRow is the JSON form of timing.Row.
type SlowRow struct {
	Endpoint   string  `json:"endpoint"`
	DataCentre string  `json:"data_centre"`
	Pool       string  `json:"pool"`
	Version    string  `json:"version,omitempty"`
	Route      string  `json:"route"`
	Stage      string  `json:"stage"`
	Requests   float64 `json:"requests"`
	MeanMS     float64 `json:"mean_ms"`
}

// FromRows returns the JSON form of rows.
func FromRows(rows []timing.Row) []SlowRow {
	out := make([]SlowRow, len(rows))
	for i, r := range rows {
		out[i] = SlowRow{
			Endpoint: string(r.Endpoint), DataCentre: string(r.DataCentre), Pool: string(r.Pool),
			Version: string(r.Version), Route: string(r.Route), Stage: r.Stage.String(),
			Requests: r.Requests, MeanMS: float64(r.Mean()) / float64(time.Millisecond),
		}
	}
	return out
}

// Model returns the row that r encodes, or false if its stage is unknown.
func (r SlowRow) Model() (timing.Row, bool) {
	for s := range model.StageCount {
		if s.String() == r.Stage {
			k := timing.Key{
				Endpoint: model.EndpointID(r.Endpoint), Pool: model.Pool(r.Pool),
				Version: model.Version(r.Version), Route: model.Route(r.Route), Stage: s,
			}
			sum := timing.Sum{Requests: r.Requests, Time: time.Duration(r.Requests * r.MeanMS * float64(time.Millisecond))}
			return timing.Row{Key: k, DataCentre: model.DataCentre(r.DataCentre), Sum: sum}, true
		}
	}
	return timing.Row{}, false
}
