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

// readSlow reads the stage times that the entries keep.
type readSlow struct{}

func (readSlow) Name() string { return "read" }

// maxSlowBytes bounds the answer of one entry.
const maxSlowBytes = 4 << 20

func (readSlow) Run(ctx context.Context, job *Job) error {
	answers := make([][]exchange.SlowRow, len(job.Fleet))
	var g errgroup.Group
	g.SetLimit(statusCalls)
	for i, m := range job.Fleet {
		if m.Role == instances.RoleEntry && m.Admin != "" {
			g.Go(func() error { answers[i] = slowRows(ctx, job.HTTP, m.Admin); return nil })
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

// slowRows asks one entry. An entry that does not answer adds no rows.
func slowRows(ctx context.Context, client *http.Client, admin string) []exchange.SlowRow {
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

// findSlow compares the places of each pool.
type findSlow struct{}

func (findSlow) Name() string { return "compare" }

func (findSlow) Run(_ context.Context, job *Job) error {
	job.Slow.found = timing.Slowest(job.Slow.rows, job.Slow.places)
	return nil
}
