package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// readSlow reads the stage times of all entries.
type readSlow struct{}

func (readSlow) Name() string { return "read" }

// maxSlowBytes bounds the size of one entry's answer.
const maxSlowBytes = 4 << 20

func (readSlow) Run(ctx context.Context, job *Job) error {
	answers := make([][]exchange.SlowRow, len(job.Fleet))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, m := range job.Fleet {
		if m.Role == instances.RoleEntry && m.Admin != "" {
			g.Go(func() error { answers[i] = fetchSlowRows(ctx, job.HTTP, m.Admin); return nil })
		}
	}
	_ = g.Wait()
	for _, rows := range answers {
		for _, r := range rows {
			if row, ok := r.Model(); ok {
				job.Slow.rows = append(job.Slow.rows, row)
			}
		}
	}
	return nil
}

// fetchSlowRows reads the stage times of one entry. It returns no rows if the
// entry does not answer.
func fetchSlowRows(ctx context.Context, client *http.Client, admin string) []exchange.SlowRow {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+exchange.PathSlow, nil)
	if err != nil {
		return nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var rows []exchange.SlowRow
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, maxSlowBytes)).Decode(&rows) != nil {
		return nil
	}
	return rows
}

// findSlow finds the hotspots by comparing the stage times within each pool.
type findSlow struct{}

func (findSlow) Name() string { return "compare" }

func (findSlow) Run(_ context.Context, job *Job) error {
	job.Slow.hotspots = timing.Slowest(job.Slow.rows, job.Slow.limit)
	return nil
}
