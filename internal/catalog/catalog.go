// Package catalog holds one immutable version of the operators' routes, pools and
// workspaces, and looks up the route and the workspace of a request. Routers use
// it; entries and sides use package lists.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// RetrySemantics is how often a request of a route may run.
type RetrySemantics int

// The retry semantics.
const (
	AtMostOnce RetrySemantics = iota // at most once for each request of a caller
	Idempotent                       // may run more than once
	Stream                           // a stream of events; at most once unless it is resumable
)

// Share is the share of a route's requests that a pool receives.
type Share struct {
	Pool   model.Pool
	Weight float64
}

// Route is one row of the routing table.
type Route struct {
	Name          model.Route
	Host          string // lower case, without a port
	Prefix        string // begins and ends with a slash
	Semantics     RetrySemantics
	Shares        []Share
	Timeout       time.Duration // maximum time until the end of the answer; 0 means no limit
	LatencyTarget time.Duration // objective for the time until the answer or the first event
	EventPause    time.Duration // objective for the time between two events of a stream
	Attempts      int           // maximum number of endpoints on which one request of a caller is attempted; at least 1
	Priority      int           // 0 is the most urgent
	Public        bool          // no API key is needed
	Resumable     bool          // a stream may be resumed at another endpoint
	Regions       []model.Region
	Generation    bool // requests have prompt parts and run on engines
}

// Retryable reports whether a request of the route may be retried after an
// attempt with an unknown outcome.
func (r *Route) Retryable() bool {
	return r.Semantics == Idempotent || r.Semantics == Stream && r.Resumable
}

// Workspace is a customer with its priority and its home regions.
type Workspace struct {
	Name     model.Workspace
	Priority int // overrides the priority of the route; negative means unset
	Regions  []model.Region
}

// Pool describes the endpoints of one service.
type Pool struct {
	Name     model.Pool
	ColdTime time.Duration // how long an endpoint is cold after its start
	ColdRate float64       // requests a second that a cold endpoint tolerates
	Engine   bool          // the endpoints are engines
	Scaling  Scaling
}

// Scaling says how many endpoints of a pool may be ordered in each data centre. A Max of 0
// means that none may.
type Scaling struct {
	Min, Max int
	Boot     time.Duration // until an ordered endpoint serves
}

// Catalog is one version of the configuration. It is immutable once published.
type Catalog struct {
	Version      int64
	Pools        map[model.Pool]Pool
	MaxBody      int64               // maximum size of a request body in bytes; 0 means no limit
	IdleTimeout  time.Duration       // how long a caller's connection may stay idle; 0 means no limit
	MaxHeader    int64               // maximum size of the fields of a head in bytes; 0 means no limit
	HeaderTime   time.Duration       // within which a head arrives; 0 means no limit
	KeysRequired bool                // requests need an API key unless their route is public
	routes       map[string][]*Route // by host, the longest prefix first
	keys         map[string]*Workspace
}

// New returns a catalogue without workspaces.
func New(version int64, routes []Route, pools []Pool, maxBody int64) *Catalog {
	c := &Catalog{Version: version, Pools: map[model.Pool]Pool{}, MaxBody: maxBody,
		routes: map[string][]*Route{}, keys: map[string]*Workspace{}}
	for i := range routes {
		r := &routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	return c
}

// AddWorkspace adds a workspace with its API keys. It must not be called after
// the catalogue is published.
func (c *Catalog) AddWorkspace(w Workspace, keys []string) {
	c.KeysRequired = true
	for _, k := range keys {
		c.keys[k] = &w
	}
}

// Routes returns the number of routes of all hosts.
func (c *Catalog) Routes() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// Match returns the route of the host with the longest prefix of path, or nil if
// there is none.
func (c *Catalog) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace of an API key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// PickPool selects a pool by the weights of the shares. u is uniform in [0, 1).
func (r *Route) PickPool(u float64) model.Pool {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Shares {
		if u < s.Weight {
			return s.Pool
		}
		u -= s.Weight
	}
	for _, s := range slices.Backward(r.Shares) {
		if s.Weight > 0 {
			return s.Pool
		}
	}
	return ""
}
