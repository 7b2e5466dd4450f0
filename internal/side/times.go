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

// timeStages reports the stage times of each whole answer. It stands right
// before the endpoint, so the first-token time leaves the queue out.
type timeStages struct {
	loop     control.Poster
	settings Settings
}

func (timeStages) Name() string { return "time_stages" }

func (f timeStages) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	handed := time.Now()
	answer, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	done := func() {
		ev := requestTimed{version: cmp.Or(answer.Version, f.settings.Version), route: req.Route}
		for s := range model.StageCount {
			ev.times[s] = req.Stages.Get(s)
		}
		f.loop.TryPost(ev)
	}
	answer.Frames = &model.TimedReader{FrameReader: answer.Frames, Stages: req.Stages, HandedOver: handed, Now: time.Now, Done: done}
	return answer, nil
}

// timesPeriod is the interval of the reports of stage times. The view of slow
// places covers minutes, so it needs no more.
const timesPeriod = 5 * time.Second

// reportTimes sends the stage times to a holder. It drops them while the
// control budget is reached.
func (p *Side) reportTimes(ctx context.Context) {
	t := time.NewTicker(timesPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		plan, err := control.Ask(ctx, p.loop, takeTimes{Question: control.NewQuestion[timesPlan]()})
		if err != nil {
			return
		}
		if len(plan.sums) == 0 || !p.node.Meter().AllowDetails(time.Now()) {
			continue
		}
		args := exchange.FromTimes(p.settings.EndpointID(), p.settings.Pool, plan.sums)
		for _, address := range plan.holders {
			if p.node.Call(ctx, address, exchange.MethodTimes, args, &exchange.Ack{}) == nil {
				break
			}
		}
	}
}
