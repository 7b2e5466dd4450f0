package entry

import (
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
)

// foldConfig applies configuration records in offset order.
type foldConfig struct{ log *slog.Logger }

func (foldConfig) Name() string { return "fold_config" }

func (st foldConfig) Apply(s *State, _ time.Time, ev control.Event) bool {
	rec, ok := ev.(configRecord)
	if !ok {
		return false
	}
	next, err := s.Config.Next(rec.offset, rec.record)
	if eris.Is(err, config.ErrStale) {
		return false
	}
	if err != nil {
		st.log.Warn("record was skipped", "offset", rec.offset, "error", err)
		return false
	}
	invariant.Check(invariant.ConfigForward, next.Offset > s.Config.Offset,
		"configuration went from offset %d to %d", s.Config.Offset, next.Offset)
	s.Config, s.derived = next, false
	return true
}
