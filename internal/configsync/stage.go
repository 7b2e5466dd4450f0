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
	// LogRead carries one read of the configuration stream. The reply to it and
	// to PeerReplied is whether the accepted configuration changed.
	LogRead struct {
		control.Question[bool]
		Batch config.Batch
	}
	// PeerReplied carries a request to a peer and the peer's reply.
	PeerReplied struct {
		control.Question[bool]
		Request   config.FetchRequest
		PeerReply config.FetchReply
	}
)

// EventName implements control.Event.
func (LogRead) EventName() string { return "config_log_read" }

// EventName implements control.Event.
func (PeerReplied) EventName() string { return "config_peer_replied" }

var skippedTotal = metrics.NewCounter("goldcrest_config_records_skipped_total")

// Stage applies configuration to a control state of type T.
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
		var skipped []config.SkippedRecord
		skipped, changed = f.ApplyLog(ev.Batch)
		for _, sk := range skipped {
			skippedTotal.Inc()
			st.Log.Warn("record was skipped", "stream", config.Stream, "offset", sk.Offset, "error", sk.Err)
		}
		ev.Reply(changed)
	case PeerReplied:
		changed, _ = f.ApplyPeer(ev.Request, ev.PeerReply)
		ev.Reply(changed)
	}
	if changed {
		st.Changed(s)
	}
	return changed
}
