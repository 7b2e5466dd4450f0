package configsync_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// process is one process with only the configuration part.
type process struct {
	loop   *control.Loop[state, config.View]
	source *configsync.Source
}

type state struct{ follow *config.Follower }

// direct reaches peers by a function call that goes through the wire form.
type direct struct {
	peers []*process
	bytes atomic.Int64
}

func (d *direct) Addresses() ([]string, bool) {
	var out []string
	for i := range d.peers {
		out = append(out, fmt.Sprint(i))
	}
	return out, true
}

func (d *direct) Fetch(_ context.Context, address string, req config.FetchRequest) (config.FetchReply, int, error) {
	var i int
	_, _ = fmt.Sscan(address, &i)
	now := time.Now()
	r, err := exchange.FromFetchReply(d.peers[i].loop.Snapshot().Answer(req), now)
	if err != nil {
		return config.FetchReply{}, 0, err
	}
	d.bytes.Add(int64(r.Size()))
	m, err := r.Model(now)
	return m, r.Size(), err
}

func start(ctx context.Context, g *errgroup.Group, logs *standin.LogService, peers configsync.Peers, budget int64) *process {
	log := slog.New(slog.DiscardHandler)
	p := &process{loop: control.New(control.Config[state, config.View]{
		State: &state{config.NewFollower()},
		Stages: []control.Stage[state]{configsync.Stage[state]{
			Log: log, Follower: func(s *state) *config.Follower { return s.follow }, Changed: func(*state) {},
		}},
		Publish: func(s *state, _ time.Time) *config.View { v := s.follow.View(); return &v },
	})}
	p.source = configsync.NewSource(configsync.Options{
		Log: log, Logs: logs, Loop: p.loop, View: func() config.View { return *p.loop.Snapshot() },
		Peers: peers, RandIntN: func(int) int { return 0 }, Budget: budget,
	})
	g.Go(func() error { p.loop.Run(ctx); return nil })
	g.Go(func() error { p.source.Run(ctx); return nil })
	return p
}

// world returns lists with n workspaces.
func world(n int) *lists.Lists {
	l := lists.New()
	l.Plans["gold"] = lists.Plan{Priority: 1, Rate: 1, Burst: 1}
	for i := range n {
		l.Workspaces[model.Workspace(fmt.Sprintf("ws-%05d", i))] = lists.Workspace{Plan: "gold", KeyHash: fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)}))}
	}
	return l
}

// Guards against a first load that misses workspaces, exceeds the byte budget,
// or cannot serve a workspace before its page has come.
func TestFirstLoadFromAPeerIsPacedAndServesLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, workspaces = 11_000, 2_000
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		defer func() { cancel(); _ = g.Wait() }()
		logs := standin.NewLogService()
		g.Go(func() error { logs.Run(ctx); return nil })
		data, err := config.Record{ID: "first", Base: config.NoBase, Snapshot: world(workspaces)}.Encode()
		is.NoErr(err)
		_, err = logs.Append(ctx, config.Stream, data)
		is.NoErr(err)
		first := start(ctx, &g, logs, nil, budget)
		time.Sleep(time.Second)
		is.True(!first.loop.Snapshot().Accepted.Loading)

		began := time.Now()
		peers := &direct{peers: []*process{first}}
		second := start(ctx, &g, logs, peers, budget)
		time.Sleep(time.Second)
		view := second.loop.Snapshot()
		is.True(view.Accepted.Loading)
		last := model.Workspace(fmt.Sprintf("ws-%05d", workspaces-1))
		hash := first.loop.Snapshot().Accepted.Lists.Workspaces[last].KeyHash
		is.True(second.source.Lookup(ctx, hash))
		is.Equal(second.loop.Snapshot().Accepted.Lists.Workspaces[last].KeyHash, hash)
		is.True(!second.source.Lookup(ctx, "unknown"))
		for second.loop.Snapshot().Accepted.Loading {
			time.Sleep(time.Second)
		}
		is.Equal(second.loop.Snapshot().Accepted.Lists, first.loop.Snapshot().Accepted.Lists)
		took, sent := time.Since(began), float64(peers.bytes.Load())
		t.Logf("first load: %.0f bytes in %s", sent, took)
		is.True(sent/took.Seconds() < budget)
		is.True(took < 3*time.Minute)
	})
}
