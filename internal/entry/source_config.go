package entry

import (
	"math/rand/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
)

// configSource returns the source of the configuration stage.
func (e *Entry) configSource() *configsync.Source {
	return configsync.NewSource(configsync.Options{
		Log:    e.log,
		Logs:   e.deps.Logs,
		Loop:   e.loop,
		View:   func() config.View { return e.loop.Snapshot().View },
		Pick:   rand.IntN,
		Budget: e.settings.ControlBudget,
	})
}
