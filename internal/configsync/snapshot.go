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

// Snapshotter appends a snapshot of the accepted configuration before the log
// trims the records that lead to it.
type Snapshotter struct {
	opts        SnapshotOptions
	lastOffset  int64     // accepted offset of the last snapshot that this process tried to append
	lastAttempt time.Time // time of that attempt
}

// NewSnapshotter returns a snapshotter. Run starts it.
func NewSnapshotter(o SnapshotOptions) *Snapshotter {
	return &Snapshotter{opts: o, lastOffset: config.NoBase}
}

// checksPerRetention is the number of checks during one retention time of the log
// whether a snapshot is due. The times at which successive ranks append differ by
// a hundredth of the retention time.
const checksPerRetention = 100

var snapshotsTotal = metrics.NewCounter("goldcrest_config_snapshots_appended_total")

// Run appends snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	t := time.NewTicker(max(time.Second, s.opts.Retention/checksPerRetention))
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
	view := s.opts.View()
	if !view.SnapshotDue(now, s.rank(view.Accepted.ID), s.opts.Retention) {
		return
	}
	if view.Accepted.Offset == s.lastOffset && now.Sub(s.lastAttempt) < config.SnapshotRetryInterval(s.opts.Retention) {
		return
	}
	s.lastOffset, s.lastAttempt = view.Accepted.Offset, now
	rec := view.Snapshot(fmt.Sprintf("snapshot-%s-%d", s.opts.Instance, view.Accepted.Offset), string(s.opts.Instance))
	data, err := rec.Encode()
	if err == nil {
		// A lost answer needs no read-back: a second copy is stale by the base rule.
		_, err = s.opts.Logs.Append(ctx, config.Stream, data)
	}
	if err != nil {
		s.opts.Log.Warn("snapshot was not appended", "offset", view.Accepted.Offset, "error", err)
		return
	}
	snapshotsTotal.Inc()
}

// rank returns the position of this entry in the rendezvous order of key.
func (s *Snapshotter) rank(key string) int {
	var candidates []choose.Candidate
	for _, id := range s.opts.Entries() {
		candidates = append(candidates, choose.Candidate{ID: model.EndpointID(id), Weight: 1})
	}
	for i, c := range choose.Order(key, "", candidates) {
		if c.ID == model.EndpointID(s.opts.Instance) {
			return i
		}
	}
	return len(candidates)
}
