package configsync

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// SnapshotOptions are the parts and settings of a Snapshotter.
type SnapshotOptions struct {
	Log       *slog.Logger
	Logs      logsvc.Log
	View      func() config.View
	Instance  model.InstanceID
	Entries   func() []model.InstanceID // live entries, this one included
	Retention time.Duration             // of the log service
}

// Snapshotter appends the accepted state again before the log trims it.
type Snapshotter struct {
	o       SnapshotOptions
	tried   int64     // offset of the last snapshot that this process appended
	triedAt time.Time // when it did
}

// NewSnapshotter returns a snapshotter. Run starts it.
func NewSnapshotter(o SnapshotOptions) *Snapshotter { return &Snapshotter{o: o, tried: config.NoBase} }

// checksInRetention is how often the need for a snapshot is checked within the
// retention. Ranks differ by a hundredth of it.
const checksInRetention = 100

var snapshotsTotal = metrics.NewCounter("goldcrest_config_snapshots_appended_total")

// Run appends snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	t := time.NewTicker(max(time.Second, s.o.Retention/checksInRetention))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.check(ctx, now)
		}
	}
}

func (s *Snapshotter) check(ctx context.Context, now time.Time) {
	view := s.o.View()
	if !view.SnapshotDue(now, s.rank(view.Accepted.ID), s.o.Retention) {
		return
	}
	if view.Accepted.Offset == s.tried && now.Sub(s.triedAt) < config.SnapshotRetryInterval(s.o.Retention) {
		return
	}
	s.tried, s.triedAt = view.Accepted.Offset, now
	rec := view.Snapshot(fmt.Sprintf("snapshot-%s-%d", s.o.Instance, view.Accepted.Offset), string(s.o.Instance))
	data, err := rec.Encode()
	if err == nil {
		// A lost answer needs no care: a second copy is stale by the base rule.
		_, err = s.o.Logs.Append(ctx, config.Stream, data)
	}
	if err != nil {
		s.o.Log.Warn("snapshot was not appended", "offset", view.Accepted.Offset, "error", err)
		return
	}
	snapshotsTotal.Inc()
}

// rank returns the place of this entry in the rendezvous order of key.
func (s *Snapshotter) rank(key string) int {
	var candidates []choose.Candidate
	for _, id := range s.o.Entries() {
		candidates = append(candidates, choose.Candidate{ID: model.EndpointID(id), Weight: 1})
	}
	for i, c := range choose.Order(key, "", candidates) {
		if c.ID == model.EndpointID(s.o.Instance) {
			return i
		}
	}
	return len(candidates)
}
