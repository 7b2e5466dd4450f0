package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// timeStages measures the stages of each answer: histograms by plan, and by
// workspace for the busiest ones.
type timeStages struct {
	loop     control.Poster
	snapshot func() *Snapshot
}

func (timeStages) Name() string { return "time_stages" }

func (f timeStages) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	start := time.Now()
	answer, err := next(ctx, req)
	if err != nil {
		countRefusal(req, model.AsRefusal(err))
		return nil, err
	}
	done := func() {
		f.observe(req, time.Since(start))
		f.loop.TryPost(answerTimed{workspace: req.Workspace, pool: req.Pool, version: answer.Version, route: req.Route, chooseTime: req.Stages.Get(model.StageChoose)})
	}
	// The side's queue and admission are stages of their own, so the time to the
	// first token starts after them.
	admitted := start.Add(req.Stages.Get(model.StageChoose) + req.Stages.Get(model.StageQueue) + req.Stages.Get(model.StageAdmit))
	answer.Frames = &model.TimedReader{FrameReader: answer.Frames, Stages: req.Stages, StartedAt: admitted, Now: time.Now, Done: done}
	return answer, nil
}

func (f timeStages) observe(req *model.Request, total time.Duration) {
	for s := range model.StageCount {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`goldcrest_entry_stage_seconds{plan=%q,stage=%q}`, req.Plan, s)).Update(req.Stages.Get(s).Seconds())
	}
	if f.snapshot().BusiestWorkspaces[req.Workspace] {
		metrics.GetOrCreateHistogram(workspaceMetric(req.Workspace)).Update(total.Seconds())
	}
}

func workspaceMetric(w model.Workspace) string {
	return fmt.Sprintf(`goldcrest_entry_workspace_seconds{workspace=%q}`, w)
}

func countRefusal(req *model.Request, r *model.Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_entry_refusals_total{plan=%q,reason=%q,outcome=%q}`, req.Plan, r.Reason, r.Outcome)).Inc()
}

// Times receives the stage times of a side.
func (s *peerService) Times(a exchange.TimesArgs, _ *exchange.Ack) error {
	sums, err := a.Model()
	if err != nil {
		return err
	}
	s.e.loop.TryPost(timesReceived{sums})
	return nil
}

// StageTimes returns the stage times that this entry keeps, with data centres.
func (e *Entry) StageTimes(ctx context.Context) ([]timing.Row, error) {
	return control.Ask(ctx, e.loop, stageTimesQuery{Question: control.NewQuestion[[]timing.Row]()})
}
