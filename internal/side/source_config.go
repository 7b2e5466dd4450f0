package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
)

// configPullInterval is the interval between pulls of the configuration from a random
// peer. Each reply to a load report carries the configuration offset, so the pulls
// are needed only if an aggregator lags. Pulling as often as an entry would cost more
// bytes than the load reports.
const configPullInterval = 10 * time.Second

// configSource returns the source that feeds the configuration stage.
func (p *Side) configSource() *configsync.Source {
	source := configsync.NewSource(configsync.Options{
		Log:          p.log,
		Logs:         p.deps.Logs,
		Loop:         p.loop,
		View:         func() config.View { return p.loop.Snapshot().View },
		RandIntN:     func(n int) int { return int(p.jitter() * float64(n)) },
		Budget:       p.settings.ControlBudget,
		PullInterval: configPullInterval,
		Peers: configsync.ExchangePeers{
			Node:    p.node,
			Self:    p.settings.Instance,
			Address: p.settings.Control,
			Peers:   func() *member.Peers { return p.loop.Snapshot().Peers },
		},
	})
	if err := source.Register(p.node); err != nil {
		panic(err) // net/rpc rejects the method set: a programming error
	}
	return source
}
