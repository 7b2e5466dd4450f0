package side

import (
	"math/rand/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
)

// configSource returns the source of the configuration stage.
func (p *Side) configSource() *configsync.Source {
	return configsync.NewSource(configsync.Options{
		Log:    p.log,
		Logs:   p.deps.Logs,
		Loop:   p.loop,
		View:   func() config.View { return p.loop.Snapshot().View },
		Pick:   rand.IntN,
		Budget: p.settings.ControlBudget,
	})
}
