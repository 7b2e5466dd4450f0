package side

import (
	"cmp"
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// timeStages reports the stage times of each complete answer. It comes after admission
// in the pipeline, so the time to the first token does not include the queue.
type timeStages struct {
	loop     control.Poster
	settings Settings
}

func (timeStages) Name() string { return "time_stages" }

func (f timeStages) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	sentAt := time.Now()
	answer, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	done := func() {
		ev := answerTimed{version: cmp.Or(answer.Version, f.settings.Version), route: req.Route}
		for s := range model.StageCount {
			ev.times[s] = req.Stages.Get(s)
		}
		f.loop.TryPost(ev)
	}
	answer.Frames = &model.TimedReader{FrameReader: answer.Frames, Stages: req.Stages, StartedAt: sentAt, Now: time.Now, Done: done}
	return answer, nil
}

// timesReportInterval is the interval between reports of stage times. The view of
// hotspots covers minutes, so shorter intervals are not needed.
const timesReportInterval = 5 * time.Second

// reportTimes sends the stage times to an aggregator until ctx ends. It drops them
// while the control budget runs low or an aggregator requests a stretch.
func (p *Side) reportTimes(ctx context.Context) {
	t := time.NewTicker(timesReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		message, err := control.Ask(ctx, p.loop, takeStageTimes{Question: control.NewQuestion[timesMessage]()})
		if err != nil {
			return
		}
		if len(message.sums) == 0 || !p.node.Meter().AllowDetails(time.Now()) {
			continue
		}
		args := exchange.FromTimes(p.settings.EndpointID(), p.settings.Pool, message.sums)
		for _, address := range message.aggregators {
			if _, err := exchange.Call[exchange.Ack](ctx, p.node, address, exchange.MethodTimes, args); err == nil {
				break
			}
		}
	}
}
