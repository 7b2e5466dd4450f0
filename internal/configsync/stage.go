package configsync

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// Events of the source.
type (
	// LogRead carries one read of the configuration stream.
	LogRead struct {
		applied
		Batch config.Batch
	}
	// PeerReplied carries the answer of a peer.
	PeerReplied struct {
		applied
		Request config.FetchRequest
		Reply   config.FetchReply
	}
)

// applied is the part of an event whose sender waits until the snapshot with its
// effect is published. The stage does not reply itself, since the loop publishes
// after the stages and would then be too late for the sender.
type applied struct {
	control.Question[struct{}]
	changed *bool // whether the accepted configuration changed
}

func newApplied() applied { return applied{control.NewQuestion[struct{}](), new(bool)} }

// EventName implements control.Event.
func (LogRead) EventName() string { return "config_log_read" }

// EventName implements control.Event.
func (PeerReplied) EventName() string { return "config_peer_replied" }

var skippedTotal = metrics.NewCounter("goldcrest_config_records_skipped_total")

// Stage folds configuration into a control state of type T.
type Stage[T any] struct {
	Log      *slog.Logger
	Follower func(*T) *config.Follower
	Changed  func(*T) // called after the accepted configuration changed
}

// Name implements control.Stage.
func (Stage[T]) Name() string { return "fold_config" }

// Apply implements control.Stage.
func (st Stage[T]) Apply(s *T, _ time.Time, ev control.Event) bool {
	f := st.Follower(s)
	changed := false
	switch ev := ev.(type) {
	case LogRead:
		var skipped []config.Skip
		skipped, changed = f.ApplyLog(ev.Batch)
		for _, sk := range skipped {
			skippedTotal.Inc()
			st.Log.Warn("record was skipped", "stream", config.Stream, "offset", sk.Offset, "error", sk.Err)
		}
		*ev.changed = changed
	case PeerReplied:
		changed, _ = f.ApplyPeer(ev.Request, ev.Reply)
		*ev.changed = changed
	}
	if changed {
		st.Changed(s)
	}
	return changed
}
