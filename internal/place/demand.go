package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Demand is what the endpoints of a pool in one data centre hold.
type Demand struct {
	DataCentre model.DataCentre
	Endpoints  int     // listed and not draining
	Slots      int     // of them together; 0 if one of them is unknown
	Load       float64 // requests of all routers in flight
}

// Demand returns the demand of a pool by data centre. Data centres that are out of service
// are left out.
func (t *Table) Demand(now time.Time, pool model.Pool) []Demand {
	sums := map[model.DataCentre]Demand{}
	unknown := map[model.DataCentre]bool{}
	for _, s := range t.endpoints {
		if !s.listed || s.Pool != pool || t.evacuated[s.DataCentre] {
			continue
		}
		d := sums[s.DataCentre]
		d.Load += t.load(now, s)
		if !s.Draining && !s.leaving {
			d.Endpoints++
			d.Slots += s.Slots
			unknown[s.DataCentre] = unknown[s.DataCentre] || s.Slots == 0
		}
		sums[s.DataCentre] = d
	}
	var out []Demand
	for dc, d := range sums {
		d.DataCentre = dc
		if unknown[dc] {
			d.Slots = 0
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}
