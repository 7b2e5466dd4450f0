package side

import (
	"log/slog"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// configStage returns the stage that applies configuration records and keeps the
// accepted configuration.
func configStage(log *slog.Logger) control.Stage[State] {
	return configsync.Stage[State]{
		Log:      log,
		Follower: func(s *State) *config.Follower { return s.Follower },
		Changed:  func(s *State) { s.Config = s.Follower.Accepted },
	}
}
