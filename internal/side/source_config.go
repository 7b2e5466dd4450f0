package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
)

// sidePullPeriod is the time between questions to a random peer. A side hears of
// a later offset with each reply to a report, so it asks only in case a holder
// lags; asking as often as an entry would cost more bytes than its reports.
const sidePullPeriod = 10 * time.Second

// configSource returns the source of the configuration stage.
func (p *Side) configSource() *configsync.Source {
	source := configsync.NewSource(configsync.Options{
		Log:      p.log,
		Logs:     p.deps.Logs,
		Loop:     p.loop,
		View:     func() config.View { return p.loop.Snapshot().View },
		RandIntN: func(n int) int { return int(p.jitter() * float64(n)) },
		Budget:   p.settings.ControlBudget,
		Period:   sidePullPeriod,
		Peers: configsync.ExchangePeers{
			Node:    p.node,
			Self:    p.settings.Instance,
			Address: p.settings.Control,
			Peers:   func() *member.Peers { return p.loop.Snapshot().Peers },
		},
	})
	if err := source.Register(p.node); err != nil {
		panic(err) // the method set does not fit net/rpc: a fault in the program
	}
	return source
}
