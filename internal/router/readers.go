package router

import (
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

const (
	// routersPerReader is the number of routers that share one store reader.
	routersPerReader = 24
	// spareReaders is the number of further routers that can replace store readers
	// that do not answer or that the store rejects.
	spareReaders = 4
	// minLocalRouters is the number of routers in a data centre from which it has
	// store readers of its own, so that the instance list crosses into it once for
	// each of them and not once for each router. Smaller ones share theirs with
	// others, which saves calls to the store.
	minLocalRouters = routersPerReader / 2
)

// readerCount returns the number of store readers of this router's group.
func (r *Router) readerCount(routers map[model.InstanceID]exchangeAddress) int {
	return (len(readerGroup(r.settings.DataCentre, routers)) + routersPerReader - 1) / routersPerReader
}

// readers returns the store readers of this router's group and then their
// replacements.
func (r *Router) readers(routers map[model.InstanceID]exchangeAddress) []model.InstanceID {
	return summary.Rendezvous(storeService, readerGroup(r.settings.DataCentre, routers), r.readerCount(routers)+spareReaders)
}

// readerGroup returns the routers that have the same store readers as a router in
// data centre home: the routers in home if there are at least minLocalRouters, else
// those in all data centres that have fewer.
func readerGroup(home model.DataCentre, routers map[model.InstanceID]exchangeAddress) []model.InstanceID {
	byDataCentre := map[model.DataCentre][]model.InstanceID{}
	for name, at := range routers {
		byDataCentre[at.dataCentre] = append(byDataCentre[at.dataCentre], name)
	}
	if len(byDataCentre[home]) >= minLocalRouters {
		return byDataCentre[home]
	}
	var out []model.InstanceID
	for _, names := range byDataCentre {
		if len(names) < minLocalRouters {
			out = append(out, names...)
		}
	}
	return out
}

// readerFor returns the reader of the router self: itself if it is a reader or
// there is none, else the first of the readers in its rendezvous order.
func readerFor(self model.InstanceID, readers []model.InstanceID) model.InstanceID {
	if len(readers) == 0 || slices.Contains(readers, self) {
		return self
	}
	return summary.Rendezvous(string(self), readers, 1)[0]
}
