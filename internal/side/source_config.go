package side

import (
	"math/rand/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
)

// configSource returns the source of the configuration stage.
func (p *Side) configSource() *configsync.Source {
	source := configsync.NewSource(configsync.Options{
		Log:    p.log,
		Logs:   p.deps.Logs,
		Loop:   p.loop,
		View:   func() config.View { return p.loop.Snapshot().View },
		Pick:   rand.IntN,
		Budget: p.settings.ControlBudget,
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
