package load

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// Run sends load as s describes and returns the report. It ends by itself
// after the duration and the grace time. Progress goes to log.
func Run(ctx context.Context, s Settings, log io.Writer) Report {
	start := time.Now()
	calls, results, back := make(chan planned), make(chan result, s.Concurrency), make(chan returned, s.Concurrency)
	limit, cancel := context.WithDeadline(ctx, start.Add(s.Duration+s.Grace))
	defer cancel()

	planner, r := newPlan(s, start), &receiver{s: s, sender: newSender(s)}
	counts := newReporter(s, log, start)
	planDone := make(chan struct{})

	var work, ends errgroup.Group
	ends.Go(func() error { defer close(planDone); planner.run(limit, calls, back); return nil })
	for range s.Concurrency {
		work.Go(func() error { sendAndReceive(limit, r, calls, results, back, planDone); return nil })
	}
	ends.Go(func() error { counts.run(results); return nil })
	_ = work.Wait()
	close(results)
	_ = ends.Wait()
	return counts.finish(context.WithoutCancel(ctx))
}

// sendAndReceive is the part of the pipeline between plan and report, for one
// call at a time.
func sendAndReceive(ctx context.Context, r *receiver, calls <-chan planned, results chan<- result, back chan<- returned, planDone <-chan struct{}) {
	for p := range calls {
		res, text := r.handle(ctx, p.call)
		results <- res
		if p.chat == nil {
			continue
		}
		select {
		case back <- returned{chat: p.chat, text: text, returnToken: res.returnToken, whole: res.verdict == whole}:
		case <-planDone:
		}
	}
}
