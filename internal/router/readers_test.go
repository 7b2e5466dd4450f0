package router

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against an instance list that each router of a large fleet gets from a
// reader in another data centre: with 300 routers and 3,000 endpoints that was 0.1 GB
// in 16 s. And against a reader for each data centre of a small fleet.
func TestReadersAreInTheOwnDataCentreOfLargeFleets(t *testing.T) {
	is := is.New(t)
	routers := func(sizes ...int) map[model.InstanceID]exchangeAddress {
		out := map[model.InstanceID]exchangeAddress{}
		for dc, n := range sizes {
			for i := range n {
				out[model.InstanceID(fmt.Sprintf("router-%d-%d", dc, i))] = exchangeAddress{dataCentre: model.DataCentre(fmt.Sprint("dc-", dc))}
			}
		}
		return out
	}
	large := routers(20, 21, 20, 3, 4)
	home := readerGroup("dc-1", large)
	is.Equal(len(home), 21)
	for _, name := range home {
		is.Equal(large[name].dataCentre, model.DataCentre("dc-1"))
	}
	rest := readerGroup("dc-4", large)
	is.Equal(len(rest), 3+4)
	other := readerGroup("dc-3", large)
	slices.Sort(rest)
	slices.Sort(other)
	is.Equal(rest, other) // routers that share readers agree on them
	is.Equal(len(readerGroup("dc-0", routers(2, 2, 1))), 5)
}
