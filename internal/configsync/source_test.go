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

// process is a process that only follows the configuration.
type process struct {
	loop   *control.Loop[state, config.View]
	source *configsync.Source
}

type state struct{ follower *config.Follower }

// directPeers reaches peers by function calls that encode and decode the
// messages.
type directPeers struct {
	peers []*process
	bytes atomic.Int64
}

func (d *directPeers) Addresses() ([]string, bool) {
	var out []string
	for i := range d.peers {
		out = append(out, fmt.Sprint(i))
	}
	return out, true
}

func (d *directPeers) Fetch(_ context.Context, address string, req config.FetchRequest) (config.FetchReply, int, error) {
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

func startProcess(ctx context.Context, g *errgroup.Group, logs *standin.LogService, peers configsync.Peers, budget int64) *process {
	log := slog.New(slog.DiscardHandler)
	p := &process{loop: control.New(control.Config[state, config.View]{
		State: &state{config.NewFollower()},
		Stages: []control.Stage[state]{configsync.Stage[state]{
			Log: log, Follower: func(s *state) *config.Follower { return s.follower }, Changed: func(*state) {},
		}},
		Publish: func(s *state, _ time.Time) *config.View { v := s.follower.View(); return &v },
	})}
	p.source = configsync.NewSource(configsync.Options{
		Log: log, Logs: logs, Loop: p.loop, View: func() config.View { return *p.loop.Snapshot() },
		Peers: peers, RandIntN: func(int) int { return 0 }, Budget: budget,
	})
	g.Go(func() error { p.loop.Run(ctx); return nil })
	g.Go(func() error { p.source.Run(ctx); return nil })
	return p
}

// listsOf returns lists with n workspaces.
func listsOf(n int) *lists.Lists {
	l := lists.New()
	l.Plans["gold"] = lists.Plan{Priority: 1, Rate: 1, Burst: 1}
	for i := range n {
		l.Workspaces[model.Workspace(fmt.Sprintf("ws-%05d", i))] = lists.Workspace{Plan: "gold", KeyHash: fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)}))}
	}
	return l
}

// Guards against a first load from a peer that misses workspaces, exceeds the
// control budget, or cannot serve a workspace before its page has arrived.
func TestFirstLoadFromAPeerIsPacedAndServesLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, workspaces = 11_000, 2_000
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		defer func() { cancel(); _ = g.Wait() }()
		logs := standin.NewLogService()
		g.Go(func() error { logs.Run(ctx); return nil })
		data, err := config.Record{ID: "first", Base: config.NoBase, Snapshot: listsOf(workspaces)}.Encode()
		is.NoErr(err)
		_, err = logs.Append(ctx, config.Stream, data)
		is.NoErr(err)
		first := startProcess(ctx, &g, logs, nil, budget)
		time.Sleep(time.Second)
		is.True(!first.loop.Snapshot().Accepted.Loading)

		started := time.Now()
		peers := &directPeers{peers: []*process{first}}
		second := startProcess(ctx, &g, logs, peers, budget)
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
		took, sent := time.Since(started), float64(peers.bytes.Load())
		t.Logf("first load: %.0f bytes in %s", sent, took)
		is.True(sent/took.Seconds() < budget)
		is.True(took < 3*time.Minute)
	})
}
