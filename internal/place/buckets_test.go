package place_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// Guards against a router whose instance list differs from that of its store reader
// after it replaced the buckets that differ.
func TestBucketsLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		own, reader := place.NewList(drawEndpoints(rt)), place.NewList(drawEndpoints(rt))
		is.Equal(own.ReplaceBuckets(reader.Differing(own.Buckets())), reader)
		is.Equal(own.ReplaceBuckets(reader.Differing(nil)), reader) // from a peer that sends no hashes
	})
}

// Guards against whole lists between routers that differ in a few endpoints: with
// 3,000 endpoints a list has 197 KB.
func TestFewDifferencesTransferFewEndpoints(t *testing.T) {
	is := is.New(t)
	const total, changed = 3000, 3
	var list []place.Endpoint
	for i := range total {
		list = append(list, place.Endpoint{ID: model.EndpointID(fmt.Sprint("i-", i)), Pool: "p"})
	}
	own := place.NewList(list)
	for i := range changed {
		list[i*100].Draining = true
	}
	buckets, endpoints := place.NewList(list).Differing(own.Buckets())
	is.True(len(buckets) <= changed)
	is.True(len(endpoints) < total/10)
}
