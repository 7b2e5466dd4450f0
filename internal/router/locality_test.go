package router_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/locality"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against a price that takes effect where none is set, and against one out of range.
func TestPriceSettings(t *testing.T) {
	is := is.New(t)
	const required = "[router]\ninstance = r\ndata_centre = d\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\nready_path = /r\nexchange = 127.0.0.1:3\n[platform]\nstore = 127.0.0.1:4\n"
	read := func(text string) (locality.Price, error) {
		f, err := settings.Parse("f.ini", []byte(required+text))
		is.NoErr(err)
		s, err := router.ReadSettings(f)
		return s.Price, err
	}
	price, err := read("")
	is.NoErr(err)
	is.True(!price.Enabled())
	price, err = read("[locality]\ngb_price = 250\nlink_delay = 5ms\ncache_token_bytes = 1000\n")
	is.NoErr(err)
	is.Equal(price, locality.Price{PerGB: 250, Link: 5 * time.Millisecond, CacheToken: 1000})
	_, err = read("[locality]\ngb_price = -1\n")
	is.True(err != nil)
}

// Guards against requests that leave their data centre while its endpoint takes them, against
// requests that fail since they stay there when it does not, and against traffic between data
// centres that is not counted.
func TestRequestsLeaveTheirDataCentreOnlyIfNeeded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	far, err := standin.NewEndpoint("service-far")
	is.NoErr(err)
	t.Cleanup(far.Close)
	f.endpoints = append(f.endpoints, far)
	f.store.Register(far, "service", "dc-b", "ready")
	p := f.start(func(s *router.Settings) { s.Price = locality.Price{PerGB: 1000, Link: 3 * time.Millisecond} }).await()
	eventually(t, "both endpoints are listed", func() bool { return strings.Count(p.text(), "endpoint listed") == 2 })
	for range 20 {
		is.Equal(p.post("/assign/x").status, http.StatusOK)
	}
	is.Equal(len(far.Received()), 0)
	f.endpoints[0].SetFaults(standin.EndpointFaults{RefuseAll: true})
	is.Equal(p.post("/assign/x").status, http.StatusOK)
	is.Equal(len(far.Received()), 1)
	eventually(t, "the request is counted", func() bool {
		var out bytes.Buffer
		metrics.WritePrometheus(&out, false)
		return strings.Contains(out.String(), `goldcrest_router_remote_requests_total{pool="service",reason="no_local"} 1`) &&
			strings.Contains(out.String(), `goldcrest_router_remote_bytes_total{pool="service",reason="no_local"}`)
	})
}
